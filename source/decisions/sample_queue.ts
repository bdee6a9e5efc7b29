import {
  type GroupPlanOptions,
  selectDeferredGroups,
  type WaitingGroup,
} from "./group_plan.ts";

/**
 * Share of a sample's expected duration that it takes at least. Estimates of the length are correct
 * at the median and often too high, so a group counts as late only when even a run this short would
 * end after the deadline.
 */
const MINIMUM_DURATION_SHARE = 0.5;

/** What decides when a waiting sample starts; times are monotonic, in milliseconds. */
export interface SampleUrgency {
  /** Time at which the results of the sample's step are due. */
  readonly dueAt: number;
  /** Expected time from the sample's start to its listed result. */
  readonly expectedMilliseconds: number;
  /** Identifies the sample's group among those of all steps. */
  readonly group: string;
  /** Identifies the trainer; trainers share the slots. */
  readonly trainer: string;
  /** Whether the trainer needs fewer groups than the step has and this one is not among them. */
  readonly isSpare: boolean;
}

/** A sample that waits for an engine. */
export interface QueuedSample<Requirements> {
  readonly urgency: SampleUrgency;
  /** What the sample requires of an engine. */
  readonly requirements: Requirements;
  /** Equal for samples that the same engines can run. */
  readonly requirementsKey: string;
}

interface QueuedGroup<Sample> {
  readonly members: Set<Sample>;
  isDeferred: boolean;
}

interface Lane<Sample> {
  /** Samples of groups that can be complete in time, the latest possible start first. */
  readonly timely: Sample[];
  /** Samples of spare groups and of groups that can't be complete in time. */
  readonly deferred: Sample[];
}

/**
 * Orders the samples that wait for engines.
 *
 * Load pattern: several trainers submit steps at the same time, with more samples than the engines
 * have slots. The sample that must start first to be in time starts first, whichever step it belongs
 * to, so that the longest texts of all steps do not wait for short ones. A group is worth something
 * only when it is complete, so the groups that `plan` defers get only slots that no other group can
 * use.
 * @example
 * ```ts
 * const queue = new SampleQueue<Requirements>();
 * queue.add(sample);
 * queue.plan({ now, slots: 48, runningMilliseconds: 0 });
 * const next = queue.take((requirements) => canRun(engine, requirements));
 * ```
 */
export class SampleQueue<
  Requirements,
  Sample extends QueuedSample<Requirements> = QueuedSample<Requirements>,
> {
  readonly #lanes = new Map<string, Lane<Sample>>();
  readonly #groups = new Map<string, QueuedGroup<Sample>>();
  #size = 0;

  /** Number of waiting samples. */
  get size(): number {
    return this.#size;
  }

  /** The waiting samples. */
  get samples(): ReadonlyArray<Sample> {
    return [...this.#groups.values()].flatMap(({ members }) => [...members]);
  }

  /** The requirements of the waiting samples, each once. */
  get requirements(): ReadonlyArray<Requirements> {
    return [...this.#lanes.values()].flatMap(({ timely, deferred }) => {
      const first = timely[0] ?? deferred[0];
      return first === undefined ? [] : [first.requirements];
    });
  }

  /** Adds a sample. */
  add(sample: Sample): void {
    const group = this.#getGroup(sample);
    group.members.add(sample);
    const lane = this.#getLane(sample.requirementsKey);
    insert(group.isDeferred ? lane.deferred : lane.timely, sample);
    this.#size += 1;
  }

  /** Removes a sample; has no effect when the sample does not wait. */
  remove(sample: Sample): void {
    const group = this.#groups.get(sample.urgency.group);
    if (group?.members.delete(sample) !== true) return;
    if (group.members.size === 0) this.#groups.delete(sample.urgency.group);
    this.#size -= 1;
    const lane = this.#getLane(sample.requirementsKey);
    deleteItem(group.isDeferred ? lane.deferred : lane.timely, sample);
    if (lane.timely.length + lane.deferred.length === 0) {
      this.#lanes.delete(sample.requirementsKey);
    }
  }

  /**
   * Removes and returns the sample that an engine should run next; undefined when it can run none.
   * @param canRun - Whether the engine can run samples with these requirements.
   */
  take(
    canRun: (requirements: Requirements) => boolean,
  ): Sample | undefined {
    const next = this.findNext(canRun);
    if (next !== undefined) this.remove(next);
    return next;
  }

  /**
   * Returns the sample that an engine should run next, which waits on; undefined when it can run none.
   * @param canRun - Whether the engine can run samples with these requirements.
   */
  findNext(
    canRun: (requirements: Requirements) => boolean,
  ): Sample | undefined {
    const lanes = [...this.#lanes.values()].filter(({ timely, deferred }) => {
      const first = timely[0] ?? deferred[0];
      return first !== undefined && canRun(first.requirements);
    });
    return findMostUrgent(lanes.map(({ timely }) => timely[0])) ??
      findMostUrgent(lanes.map(({ deferred }) => deferred[0]));
  }

  /** Selects again which groups are deferred, for the engines' current capacity. */
  plan(options: GroupPlanOptions): void {
    const groups = [...this.#groups].map(([name, { members }]) =>
      toWaitingGroup(name, [...members])
    );
    const deferred = selectDeferredGroups(groups, options);
    for (const [name, group] of this.#groups) {
      const isDeferred = deferred.has(name);
      if (group.isDeferred !== isDeferred) this.#move(group, isDeferred);
    }
  }

  #move(group: QueuedGroup<Sample>, isDeferred: boolean): void {
    group.isDeferred = isDeferred;
    for (const member of group.members) {
      const { timely, deferred } = this.#getLane(member.requirementsKey);
      deleteItem(isDeferred ? timely : deferred, member);
      insert(isDeferred ? deferred : timely, member);
    }
  }

  #getGroup({ urgency }: Sample): QueuedGroup<Sample> {
    let group = this.#groups.get(urgency.group);
    if (group === undefined) {
      group = { members: new Set(), isDeferred: urgency.isSpare };
      this.#groups.set(urgency.group, group);
    }
    return group;
  }

  #getLane(key: string): Lane<Sample> {
    let lane = this.#lanes.get(key);
    if (lane === undefined) {
      lane = { timely: [], deferred: [] };
      this.#lanes.set(key, lane);
    }
    return lane;
  }
}

/** Returns the latest time at which a sample can start and still be expected to end in time. */
export function toLatestStart(
  { dueAt, expectedMilliseconds }: SampleUrgency,
): number {
  return dueAt - expectedMilliseconds;
}

type Urgent = Pick<QueuedSample<unknown>, "urgency">;

function toWaitingGroup(
  name: string,
  members: ReadonlyArray<Urgent>,
): WaitingGroup {
  const [first] = members;
  const durations = members.map(({ urgency }) => urgency.expectedMilliseconds);
  return {
    name,
    trainer: first?.urgency.trainer ?? "",
    dueAt: first?.urgency.dueAt ?? Infinity,
    totalMilliseconds: durations.reduce((sum, each) => sum + each, 0),
    longestMilliseconds: MINIMUM_DURATION_SHARE * Math.max(...durations),
    isSpare: first?.urgency.isSpare ?? false,
  };
}

function findMostUrgent<Sample extends Urgent>(
  samples: ReadonlyArray<Sample | undefined>,
): Sample | undefined {
  let first: Sample | undefined;
  for (const sample of samples) {
    if (sample === undefined) continue;
    const isEarlier = first === undefined ||
      toLatestStart(sample.urgency) < toLatestStart(first.urgency);
    if (isEarlier) first = sample;
  }
  return first;
}

// Inserts by the latest start, behind samples with the same one.
function insert<Sample extends Urgent>(
  samples: Sample[],
  sample: Sample,
): void {
  const latestStart = toLatestStart(sample.urgency);
  let low = 0;
  let high = samples.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const other = samples[middle];
    if (other !== undefined && toLatestStart(other.urgency) <= latestStart) {
      low = middle + 1;
    } else high = middle;
  }
  samples.splice(low, 0, sample);
}

function deleteItem<Item>(items: Item[], item: Item): void {
  const index = items.indexOf(item);
  if (index >= 0) items.splice(index, 1);
}
