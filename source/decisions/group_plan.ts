/**
 * Share of the time until a deadline that slots spend on the planned groups; the rest is lost while
 * the last samples of a group run and other slots can't help them.
 */
const USABLE_TIME_SHARE = 0.85;

/** The waiting samples of one group; times are in milliseconds. */
export interface WaitingGroup {
  readonly name: string;
  /** Groups of the same trainer share the slots that are this trainer's part. */
  readonly trainer: string;
  /** Monotonic time at which the group must be complete. */
  readonly dueAt: number;
  /** Expected run time of all waiting samples together. */
  readonly totalMilliseconds: number;
  /** Shortest possible run time of the longest waiting sample. */
  readonly longestMilliseconds: number;
  /** Whether the trainer waits for other groups instead. */
  readonly isSpare: boolean;
}

/** The engines' capacity. */
export interface GroupPlanOptions {
  /** Current monotonic time, in milliseconds. */
  readonly now: number;
  /** Number of samples that the engines run concurrently. */
  readonly slots: number;
  /** Expected remaining run time of all running samples together, in milliseconds. */
  readonly runningMilliseconds: number;
}

interface PlannedGroups {
  readonly kept: Set<WaitingGroup>;
  readonly workByTrainer: Map<string, number>;
  totalMilliseconds: number;
}

/**
 * Selects the groups that can't or need not be complete in time.
 *
 * Load pattern: trainers submit more samples than the engines can run until the steps are due. If
 * every group got some slots, most of them would be late. Groups are planned in the order of their
 * deadlines; where the work exceeds what the slots can do until a deadline, the trainer with the
 * most planned work gives up its largest group. The other groups can then be complete in time, a
 * group that has started is smaller than a new one and is kept before it, and no trainer loses all
 * its groups to another one.
 * @returns Names of the groups that should wait for slots that no other group uses.
 * @example
 * ```ts
 * const deferred = selectDeferredGroups(groups, { now, slots: 48, runningMilliseconds: 9000 });
 * ```
 */
export function selectDeferredGroups(
  groups: ReadonlyArray<WaitingGroup>,
  options: GroupPlanOptions,
): ReadonlySet<string> {
  const { now, slots, runningMilliseconds } = options;
  const deferred = new Set<string>();
  const planned: PlannedGroups = {
    kept: new Set(),
    workByTrainer: new Map(),
    totalMilliseconds: runningMilliseconds,
  };
  const byDeadline = [...groups].sort((left, right) =>
    left.dueAt - right.dueAt
  );
  for (const group of byDeadline) {
    const remaining = group.dueAt - now;
    if (group.isSpare || group.longestMilliseconds > remaining) {
      deferred.add(group.name);
      continue;
    }
    keep(planned, group);
    const capacity = USABLE_TIME_SHARE * slots * remaining;
    while (planned.totalMilliseconds > capacity) {
      const dropped = findLargest(planned);
      if (dropped === undefined) break;
      drop(planned, dropped);
      deferred.add(dropped.name);
    }
  }
  return deferred;
}

function keep(planned: PlannedGroups, group: WaitingGroup): void {
  planned.kept.add(group);
  addWork(planned, group.trainer, group.totalMilliseconds);
}

function drop(planned: PlannedGroups, group: WaitingGroup): void {
  planned.kept.delete(group);
  addWork(planned, group.trainer, -group.totalMilliseconds);
}

function addWork(
  planned: PlannedGroups,
  trainer: string,
  milliseconds: number,
): void {
  const { workByTrainer } = planned;
  workByTrainer.set(trainer, (workByTrainer.get(trainer) ?? 0) + milliseconds);
  planned.totalMilliseconds += milliseconds;
}

// Returns the largest group of the trainer with the most planned work.
function findLargest(planned: PlannedGroups): WaitingGroup | undefined {
  const { kept, workByTrainer } = planned;
  let largest: WaitingGroup | undefined;
  for (const group of kept) {
    if (largest === undefined) {
      largest = group;
      continue;
    }
    const difference = (workByTrainer.get(group.trainer) ?? 0) -
      (workByTrainer.get(largest.trainer) ?? 0);
    const isLarger = difference > 0 ||
      (difference === 0 &&
        group.totalMilliseconds > largest.totalMilliseconds);
    if (isLarger) largest = group;
  }
  return largest;
}
