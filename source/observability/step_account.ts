import type { SampleRecord, StepRecord } from "./step_records.ts";

/** Causes of the time between the submission of a step and the end of one of its groups. */
export const TIME_CAUSES = [
  "acceptance",
  "start",
  "takeover",
  "slot",
  "weights",
  "response",
  "generation",
  "slowGeneration",
  "interruption",
  "scoring",
  "listing",
] as const;

/** A cause of the time between the submission of a step and the end of one of its groups. */
export type TimeCause = typeof TIME_CAUSES[number];

/** Milliseconds by cause. */
export type TimeByCause = Readonly<Record<TimeCause, number>>;

/** Where the time of a group went that its trainer waited for. */
export interface GroupAccount {
  readonly group: string;
  readonly outcome: "timely" | "late" | "failed";
  /** Milliseconds from the submission until all its results were listed; undefined if never. */
  readonly completeMilliseconds: number | undefined;
  /**
   * Least milliseconds that its longest text takes from the submission on, at the usual time per
   * event.
   */
  readonly leastMilliseconds: number;
  /** Time of its sample that ended last. */
  readonly spent: TimeByCause;
}

/** Where the time of a step went. */
export interface StepAccount {
  readonly step: string;
  readonly model: string;
  readonly number: number;
  /** Milliseconds from the first submission of all steps until this one. */
  readonly submittedMilliseconds: number;
  /** Milliseconds by which the submission was later than the trainer's schedule. */
  readonly behindMilliseconds: number;
  readonly dueMilliseconds: number;
  /** Milliseconds from the last needed result until the trainer ended the step. */
  readonly readMilliseconds: number | undefined;
  /** The groups that the trainer waited for, in the order in which they were complete. */
  readonly groups: ReadonlyArray<GroupAccount>;
}

/** Where the time of a trainer went. */
export interface TrainerAccount {
  readonly model: string;
  readonly steps: number;
  /** Steps that its schedule had time for and that it never submitted. */
  readonly missedSteps: number;
  /** Milliseconds by which its last submission was later than its schedule. */
  readonly behindMilliseconds: number;
}

/** Late and failed groups of the steps that were submitted in one second. */
export interface LateSecond {
  /** Seconds since the first submission of all steps. */
  readonly second: number;
  readonly groups: number;
  readonly byCause: TimeByCause;
}

/** Where the time of all steps went. */
export interface StepAccounts {
  readonly steps: ReadonlyArray<StepAccount>;
  readonly trainers: ReadonlyArray<TrainerAccount>;
  /** Usual milliseconds for one event. */
  readonly eventMilliseconds: number;
  /** Milliseconds of late and failed groups by cause, over all steps. */
  readonly lateByCause: TimeByCause;
  /** The same for the steps submitted in each second that has any, since the first submission. */
  readonly lateBySecond: ReadonlyArray<LateSecond>;
  readonly timely: number;
  readonly late: number;
  readonly failed: number;
  /** Late and failed groups that even the least time of their longest text made late. */
  readonly unavoidable: number;
}

interface Schedule {
  readonly firstAt: number;
  readonly firstNumber: number;
  readonly periodMilliseconds: number;
}

/**
 * Accounts for the time of each group that a trainer waited for.
 * @param records - All steps.
 * @param options - The time of the last log line, in milliseconds since the Unix epoch.
 * @example
 * ```ts
 * const { lateByCause } = accountForSteps(readStepRecords(lines), { endsAt });
 * ```
 */
export function accountForSteps(
  records: ReadonlyArray<StepRecord>,
  { endsAt }: { readonly endsAt: number },
): StepAccounts {
  const startsAt = Math.min(...records.map(({ submittedAt }) => submittedAt));
  const eventMilliseconds = findEventMilliseconds(records);
  const byModel = groupBy(records, ({ model }) => model);
  const schedules = new Map(
    [...byModel].map(([model, steps]) => [model, findSchedule(steps)]),
  );
  const steps = records.map((record) => {
    const schedule = schedules.get(record.model);
    return {
      step: record.identifier,
      model: record.model,
      number: record.number,
      submittedMilliseconds: record.submittedAt - startsAt,
      behindMilliseconds: schedule === undefined
        ? 0
        : toBehind(record, schedule),
      dueMilliseconds: record.dueMilliseconds,
      ...accountForGroups(record, eventMilliseconds),
    };
  });
  const groups = steps.flatMap((step) =>
    step.groups.map((group) => ({
      ...group,
      due: step.dueMilliseconds,
      second: Math.floor(step.submittedMilliseconds / 1000),
    }))
  );
  const missed = groups.filter(({ outcome }) => outcome !== "timely");
  return {
    steps,
    trainers: [...byModel].map(([model, ofModel]) =>
      accountForTrainer(model, ofModel, endsAt)
    ),
    eventMilliseconds,
    lateByCause: sumTimes(missed.map(({ spent }) => spent)),
    lateBySecond: [...groupBy(missed, ({ second }) => String(second))].map(
      ([second, ofSecond]) => ({
        second: Number(second),
        groups: ofSecond.length,
        byCause: sumTimes(ofSecond.map(({ spent }) => spent)),
      }),
    ).sort((left, right) => left.second - right.second),
    timely: groups.length - missed.length,
    late: count(missed, ({ outcome }) => outcome === "late"),
    failed: count(missed, ({ outcome }) => outcome === "failed"),
    unavoidable: count(
      missed,
      ({ leastMilliseconds, due }) => leastMilliseconds > due,
    ),
  };
}

function accountForGroups(
  record: StepRecord,
  eventMilliseconds: number,
): Pick<StepAccount, "groups" | "readMilliseconds"> {
  const groups = [...groupBy(record.samples, ({ group }) => group)]
    .map(([group, samples]) =>
      accountForGroup(record, { group, samples, eventMilliseconds })
    ).sort((left, right) =>
      (left.completeMilliseconds ?? Infinity) -
      (right.completeMilliseconds ?? Infinity)
    );
  const needed = record.targetGroups > 0
    ? groups.slice(0, record.targetGroups)
    : groups;
  const last = needed.at(-1)?.completeMilliseconds;
  return {
    groups: needed,
    readMilliseconds: last === undefined || record.endedAt === undefined
      ? undefined
      : record.endedAt - record.submittedAt - last,
  };
}

function accountForGroup(
  record: StepRecord,
  { group, samples, eventMilliseconds }: {
    readonly group: string;
    readonly samples: ReadonlyArray<SampleRecord>;
    readonly eventMilliseconds: number;
  },
): GroupAccount {
  const last = samples.reduce((latest, sample) =>
    (sample.listedAt ?? Infinity) > (latest.listedAt ?? Infinity)
      ? sample
      : latest
  );
  const complete = last.listedAt === undefined
    ? undefined
    : last.listedAt - record.submittedAt;
  const longest = Math.max(...samples.map(({ events }) => events));
  return {
    group,
    outcome: toOutcome(complete, record.dueMilliseconds),
    completeMilliseconds: complete,
    leastMilliseconds: Math.round(longest * eventMilliseconds),
    spent: toTimes(record, last, eventMilliseconds),
  };
}

function toOutcome(
  complete: number | undefined,
  dueMilliseconds: number,
): GroupAccount["outcome"] {
  if (complete === undefined) return "failed";
  return complete > dueMilliseconds && dueMilliseconds > 0 ? "late" : "timely";
}

function toTimes(
  record: StepRecord,
  sample: SampleRecord,
  eventMilliseconds: number,
): TimeByCause {
  const { spent } = sample;
  const usual = Math.min(
    spent.generated,
    Math.round(sample.events * eventMilliseconds),
  );
  const start = Math.max(0, sample.runStartedAt - record.acceptedAt);
  const isTakenOver = record.runs > 1;
  const endsAt = sample.listedAt ?? record.endedAt ?? sample.scoredAt;
  return {
    acceptance: record.acceptedAt - record.submittedAt,
    start: isTakenOver ? 0 : start,
    takeover: isTakenOver ? start : 0,
    slot: spent.waited,
    weights: spent.waitedForWeights,
    response: spent.asked,
    generation: usual,
    slowGeneration: spent.generated - usual,
    interruption: spent.resumed,
    scoring: sample.outcome === "completed"
      ? sample.scoredAt - sample.madeAt
      : 0,
    listing: Math.max(0, endsAt - sample.scoredAt),
  };
}

function accountForTrainer(
  model: string,
  records: ReadonlyArray<StepRecord>,
  endsAt: number,
): TrainerAccount {
  const schedule = findSchedule(records);
  const last = records.at(-1);
  if (schedule === undefined || last === undefined) {
    return {
      model,
      steps: records.length,
      missedSteps: 0,
      behindMilliseconds: 0,
    };
  }
  const scheduled = 1 +
    Math.floor((endsAt - schedule.firstAt) / schedule.periodMilliseconds);
  return {
    model,
    steps: records.length,
    missedSteps: Math.max(0, scheduled - records.length),
    behindMilliseconds: toBehind(last, schedule),
  };
}

// Returns the schedule that the usual time between two steps of a trainer implies; undefined for
// fewer than two steps.
function findSchedule(
  records: ReadonlyArray<StepRecord>,
): Schedule | undefined {
  const [first] = records;
  const periods = records.slice(1).map((record, index) =>
    record.submittedAt - (records[index]?.submittedAt ?? record.submittedAt)
  ).sort((left, right) => left - right);
  const period = periods[periods.length >> 1];
  if (first === undefined || period === undefined || period <= 0) {
    return undefined;
  }
  return {
    firstAt: first.submittedAt,
    firstNumber: first.number,
    periodMilliseconds: period,
  };
}

function toBehind(
  { submittedAt, number }: StepRecord,
  { firstAt, firstNumber, periodMilliseconds }: Schedule,
): number {
  const scheduledAt = firstAt + (number - firstNumber) * periodMilliseconds;
  return Math.round(submittedAt - scheduledAt);
}

// Returns the median time per event of the samples that were not interrupted.
function findEventMilliseconds(records: ReadonlyArray<StepRecord>): number {
  const times = records.flatMap(({ samples }) => samples)
    .filter(({ events, spent, outcome }) =>
      outcome === "completed" && events > 1 && spent.resumed === 0
    )
    .map(({ events, spent }) => spent.generated / events)
    .sort((left, right) => left - right);
  return times[times.length >> 1] ?? 0;
}

function sumTimes(times: ReadonlyArray<TimeByCause>): TimeByCause {
  const sums = TIME_CAUSES.map((cause) => [
    cause,
    times.reduce((sum, each) => sum + each[cause], 0),
  ]);
  return Object.fromEntries(sums) as TimeByCause;
}

function count<Item>(
  items: ReadonlyArray<Item>,
  isCounted: (item: Item) => boolean,
): number {
  return items.filter(isCounted).length;
}

function groupBy<Item>(
  items: ReadonlyArray<Item>,
  toKey: (item: Item) => string,
): ReadonlyMap<string, ReadonlyArray<Item>> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const group = groups.get(toKey(item));
    if (group === undefined) groups.set(toKey(item), [item]);
    else group.push(item);
  }
  return groups;
}
