import { getMedian, getQuantile } from "../decisions/quantile.ts";

/** A sample that a server is running. */
export interface RunningSample {
  readonly index: number;
  /** Position of the sample's group in the manifest. */
  readonly group: number;
  /** Address of the server whose run has generated the most tokens. */
  readonly server: string;
  /** Time since the oldest dispatched active run was first sent to a server, in milliseconds. */
  readonly ageMilliseconds: number;
  /**
   * Time since the last token of the run with the most tokens, or since its dispatch if it has
   * generated none, in milliseconds.
   */
  readonly sinceLastTokenMilliseconds: number;
  /** Time from the first to the last token of the run with the most tokens, in milliseconds. */
  readonly generatingMilliseconds: number;
  /** Number of tokens of the sample in the run that has generated the most. */
  readonly tokens: number;
  readonly maximumTokens: number;
  /** Number of active runs of the sample. */
  readonly runs: number;
  /** Number of second runs of the sample that were started so far. */
  readonly secondRuns: number;
}

/** A run that completed its sample. */
export interface FinishedRun {
  /** Time from the dispatch to a server to the completion, in milliseconds. */
  readonly milliseconds: number;
  /** Time from the dispatch to the first token, in milliseconds. */
  readonly startMilliseconds: number;
  /** Number of tokens that this run generated. */
  readonly tokens: number;
}

/** State of a step on which a tail policy decides. */
export interface TailView {
  readonly running: ReadonlyArray<RunningSample>;
  /** Number of missing samples that have no run, or a run that was not sent to a server yet. */
  readonly waiting: number;
  /** The most recently finished runs. */
  readonly finished: ReadonlyArray<FinishedRun>;
  /** Remaining number of tokens that second runs may generate twice. */
  readonly budgetTokens: number;
}

/** A second run of a sample, which is started to reduce the tail latency of the step. */
export interface SecondRun {
  readonly index: number;
  /**
   * Whether the second run resumes from the tokens of the first run and replaces the first run when
   * the second run generates its first token. If false, the second run starts without tokens, and
   * the result of the run that completes first is used.
   */
  readonly resumes: boolean;
  /** Expected number of tokens that both runs generate. */
  readonly duplicateTokens: number;
}

/** Selects the samples that get a second run. */
export type TailPolicy = (view: TailView) => ReadonlyArray<SecondRun>;

/** Names of the tail policies. */
export type TailPolicyName = "none" | "hedgedTail" | "resumedTail";

/** Number of finished runs from which a policy estimates typical durations. */
const MINIMUM_FINISHED_RUNS = 4;
/** Multiple of the compared duration beyond which a run counts as slow. */
const STRAGGLER_FACTOR = 1.5;
/**
 * Multiple of the `STRAGGLER_QUANTILE` of the times to the first token, beyond which a sample counts
 * as blocked at a server that runs no sample with tokens.
 */
const LATE_START_FACTOR = 2;
/** Maximum number of second runs of one sample under `resumedTail`. */
const MAXIMUM_SECOND_RUNS = 2;
/** Quantile of the finished runs with which long durations are compared, from 0 to 1. */
const STRAGGLER_QUANTILE = 0.95;
/** Expected saving above which a second run of a slow sample is worthwhile. */
const MINIMUM_SAVED_MILLISECONDS = 100;

/** Tail policies by name; `none` starts no second runs and is the baseline. */
export const TAIL_POLICIES: Readonly<Record<TailPolicyName, TailPolicy>> = {
  none: () => [],
  hedgedTail: selectByAge,
  resumedTail: selectByProgress,
};

/**
 * Selects samples that have run much longer than the finished runs, once no sample is waiting for
 * a server. The second run starts without tokens.
 * @param view - The step's samples.
 * @example
 * ```ts
 * const second = selectByAge(view);
 * ```
 */
export function selectByAge(view: TailView): ReadonlyArray<SecondRun> {
  if (!isInTail(view)) return [];
  const quantileMilliseconds = getQuantile(
    view.finished.map((run) => run.milliseconds),
    STRAGGLER_QUANTILE,
  );
  const stragglers = view.running
    .filter((sample) => sample.runs === 1)
    .filter((sample) =>
      sample.ageMilliseconds > quantileMilliseconds * STRAGGLER_FACTOR
    )
    .sort((left, right) => right.ageMilliseconds - left.ageMilliseconds)
    .map(({ index, maximumTokens }) => ({
      index,
      resumes: false,
      duplicateTokens: maximumTokens,
    }));
  return selectWithinBudget(stragglers, view.budgetTokens);
}

/**
 * Selects slow and blocked samples, and none while a sample without tokens is not blocked.
 *
 * A sample is slow when a second run of typical speed would complete it much sooner. A sample
 * without tokens is blocked when its server also runs a slow sample, or when its server runs no
 * sample with tokens and has sent no first token for unusually long. The second run resumes from
 * the tokens of the first run.
 * @param view - The step's samples.
 * @example
 * ```ts
 * const second = selectByProgress(view);
 * ```
 */
export function selectByProgress(view: TailView): ReadonlyArray<SecondRun> {
  if (!isInTail(view)) return [];
  const typical = describeTypicalRun(view.finished);
  const started = view.running.filter((sample) => sample.tokens > 0);
  const slow = started
    .filter((sample) => isWorthwhile(estimateRemainingTimes(sample, typical)));
  const slowServers = new Set(slow.map((sample) => sample.server));
  const queued = view.running.filter((sample) => sample.tokens === 0);
  const busyServers = new Set(started.map((sample) => sample.server));
  const blocked = queued.filter((sample) =>
    slowServers.has(sample.server) ||
    (!busyServers.has(sample.server) &&
      sample.sinceLastTokenMilliseconds >
        typical.latestStartMilliseconds * LATE_START_FACTOR)
  );
  if (blocked.length < queued.length) return [];
  const stragglers = [...slow, ...blocked]
    .filter((sample) => sample.runs === 1)
    .filter((sample) => sample.secondRuns < MAXIMUM_SECOND_RUNS)
    .map((sample) => ({
      sample,
      times: estimateRemainingTimes(sample, typical),
    }))
    .sort((left, right) =>
      getSavedMilliseconds(right.times) - getSavedMilliseconds(left.times)
    )
    .map(({ sample }) => ({
      index: sample.index,
      resumes: true,
      duplicateTokens: estimateDuplicateTokens(sample, typical),
    }));
  return selectWithinBudget(stragglers, view.budgetTokens);
}

/**
 * Returns the median generation time of finished runs per token, in milliseconds.
 * @param finished - The runs.
 * @example
 * ```ts
 * getTypicalMillisecondsPerToken([{ milliseconds: 1100, startMilliseconds: 100, tokens: 100 }]); // 10
 * ```
 */
export function getTypicalMillisecondsPerToken(
  finished: ReadonlyArray<FinishedRun>,
): number {
  return getMedian(
    finished.map((run) =>
      (run.milliseconds - run.startMilliseconds) / Math.max(1, run.tokens)
    ),
  );
}

interface TypicalRun {
  readonly startMilliseconds: number;
  /** High quantile of the time to the first token, in milliseconds. */
  readonly latestStartMilliseconds: number;
  readonly millisecondsPerToken: number;
}

function isInTail(view: TailView): boolean {
  return view.waiting === 0 && view.finished.length >= MINIMUM_FINISHED_RUNS;
}

function describeTypicalRun(finished: ReadonlyArray<FinishedRun>): TypicalRun {
  const starts = finished.map((run) => run.startMilliseconds);
  return {
    startMilliseconds: getMedian(starts),
    latestStartMilliseconds: getQuantile(starts, STRAGGLER_QUANTILE),
    millisecondsPerToken: getTypicalMillisecondsPerToken(finished),
  };
}

interface RemainingTimes {
  /** Expected time until the first run completes, in milliseconds. */
  readonly firstRunMilliseconds: number;
  /** Expected time until a second run completes, in milliseconds. */
  readonly secondRunMilliseconds: number;
}

function estimateRemainingTimes(
  sample: RunningSample,
  typical: TypicalRun,
): RemainingTimes {
  const remainingTokens = sample.maximumTokens - sample.tokens;
  const typicalRemainingMilliseconds = remainingTokens *
    typical.millisecondsPerToken;
  const millisecondsPerToken = sample.tokens > 0
    ? sample.generatingMilliseconds / sample.tokens
    : typical.millisecondsPerToken;
  // A server that has sent no token for some time is expected to stall for the same time again.
  const firstRun = Math.max(
    remainingTokens * millisecondsPerToken,
    sample.sinceLastTokenMilliseconds + typicalRemainingMilliseconds,
  );
  return {
    firstRunMilliseconds: firstRun,
    secondRunMilliseconds: typical.startMilliseconds +
      typicalRemainingMilliseconds,
  };
}

function getSavedMilliseconds(
  { firstRunMilliseconds: firstRun, secondRunMilliseconds: secondRun }:
    RemainingTimes,
): number {
  return firstRun - secondRun;
}

function isWorthwhile(times: RemainingTimes): boolean {
  return times.firstRunMilliseconds >
      times.secondRunMilliseconds * STRAGGLER_FACTOR &&
    getSavedMilliseconds(times) > MINIMUM_SAVED_MILLISECONDS;
}

// The first run keeps generating tokens until the second run generates its first token.
function estimateDuplicateTokens(
  sample: RunningSample,
  typical: TypicalRun,
): number {
  if (sample.tokens === 0) return 0;
  const millisecondsPerToken = Math.max(
    sample.generatingMilliseconds / sample.tokens,
    sample.sinceLastTokenMilliseconds,
  );
  return Math.ceil(
    typical.startMilliseconds / Math.max(1, millisecondsPerToken),
  );
}

function selectWithinBudget(
  runs: ReadonlyArray<SecondRun>,
  budgetTokens: number,
): ReadonlyArray<SecondRun> {
  const selected: SecondRun[] = [];
  let remaining = budgetTokens;
  for (const run of runs) {
    if (run.duplicateTokens > remaining) continue;
    remaining -= run.duplicateTokens;
    selected.push(run);
  }
  return selected;
}
