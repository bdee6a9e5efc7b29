import { getMedian, getQuantile } from "./quantile.ts";

/** One sample that a server runs now. */
export interface RunningSample {
  readonly index: number;
  readonly group: number;
  /** Address of the server of the run that is furthest. */
  readonly server: string;
  /** Time since the sample was sent to a server, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Time since its last token, or since it was sent, in milliseconds. */
  readonly silentMilliseconds: number;
  /** Time from its first to its last token, in milliseconds. */
  readonly generatingMilliseconds: number;
  /** Tokens so far, of the run that is furthest. */
  readonly tokens: number;
  readonly maximumTokens: number;
  /** Runs of the sample that are active. */
  readonly runs: number;
  /** Second runs that were begun so far. */
  readonly secondRuns: number;
}

/** A run that ended with a whole sample. */
export interface FinishedRun {
  /** Time from being sent to a server to the end, in milliseconds. */
  readonly milliseconds: number;
  /** Time from being sent to the first token, in milliseconds. */
  readonly startMilliseconds: number;
  /** Tokens that this run generated. */
  readonly tokens: number;
}

/** What a tail policy sees of a step. */
export interface TailView {
  readonly running: ReadonlyArray<RunningSample>;
  /** Samples that no server runs yet. */
  readonly waiting: number;
  /** The newest finished runs. */
  readonly finished: ReadonlyArray<FinishedRun>;
  /** Tokens that second runs may still use. */
  readonly spareTokens: number;
}

/** A second run of a sample. */
export interface SecondRun {
  readonly index: number;
  /**
   * Whether it goes on from the tokens that the first run has, and takes its place with its own
   * first token; else it begins anew and both race.
   */
  readonly resumes: boolean;
  /** Tokens that are expected to be generated twice. */
  readonly tokens: number;
}

/** Chooses the samples that get a second run. */
export type TailPolicy = (view: TailView) => ReadonlyArray<SecondRun>;

/** Names of the tail policies. */
export type TailPolicyName = "none" | "hedgedTail" | "resumedTail";

const MINIMUM_FINISHED_RUNS = 4;
const STRAGGLER_FACTOR = 1.5;
const START_FACTOR = 2;
const MAXIMUM_SECOND_RUNS = 2;
const STRAGGLER_QUANTILE = 0.95;
const MINIMUM_GAIN_MILLISECONDS = 100;

/** Tail policies by name; `none` is the baseline. */
export const TAIL_POLICIES: Readonly<Record<TailPolicyName, TailPolicy>> = {
  none: () => [],
  hedgedTail: chooseByAge,
  resumedTail: chooseByProgress,
};

/**
 * Chooses samples that run much longer than finished ones did, once no sample waits. The second
 * run begins anew.
 * @param view - The step's samples.
 * @example
 * ```ts
 * const second = chooseByAge(view);
 * ```
 */
export function chooseByAge(view: TailView): ReadonlyArray<SecondRun> {
  if (!isTail(view)) return [];
  const usual = getQuantile(
    view.finished.map((run) => run.milliseconds),
    STRAGGLER_QUANTILE,
  );
  const stragglers = view.running
    .filter((sample) => sample.runs === 1)
    .filter((sample) => sample.ageMilliseconds > usual * STRAGGLER_FACTOR)
    .sort((left, right) => right.ageMilliseconds - left.ageMilliseconds)
    .map(({ index, maximumTokens }) => ({
      index,
      resumes: false,
      tokens: maximumTokens,
    }));
  return takeWithin(stragglers, view.spareTokens);
}

/**
 * Chooses samples whose rest would be done much sooner by a run of usual speed, and those that
 * wait at the servers of such samples, once nothing waits elsewhere. The second run goes on from
 * the tokens that the first one has.
 * @param view - The step's samples.
 * @example
 * ```ts
 * const second = chooseByProgress(view);
 * ```
 */
export function chooseByProgress(view: TailView): ReadonlyArray<SecondRun> {
  if (!isTail(view)) return [];
  const usual = describeUsualRun(view.finished);
  const begun = view.running.filter((sample) => sample.tokens > 0);
  const slow = begun
    .filter((sample) => isWorthwhile(estimateEnds(sample, usual)));
  const slowServers = new Set(slow.map((sample) => sample.server));
  const queued = view.running.filter((sample) => sample.tokens === 0);
  const busyServers = new Set(begun.map((sample) => sample.server));
  const stuck = queued.filter((sample) =>
    slowServers.has(sample.server) ||
    (!busyServers.has(sample.server) &&
      sample.silentMilliseconds > usual.latestStartMilliseconds * START_FACTOR)
  );
  if (stuck.length < queued.length) return [];
  const stragglers = [...slow, ...stuck]
    .filter((sample) => sample.runs === 1)
    .filter((sample) => sample.secondRuns < MAXIMUM_SECOND_RUNS)
    .map((sample) => ({ sample, ends: estimateEnds(sample, usual) }))
    .sort((left, right) => getGain(right.ends) - getGain(left.ends))
    .map(({ sample }) => ({
      index: sample.index,
      resumes: true,
      tokens: estimateDoubledTokens(sample, usual),
    }));
  return takeWithin(stragglers, view.spareTokens);
}

/**
 * Returns the median time that finished runs took for a token, in milliseconds.
 * @param finished - The runs.
 * @example
 * ```ts
 * getUsualMillisecondsPerToken([{ milliseconds: 1100, startMilliseconds: 100, tokens: 100 }]); // 10
 * ```
 */
export function getUsualMillisecondsPerToken(
  finished: ReadonlyArray<FinishedRun>,
): number {
  return getMedian(
    finished.map((run) =>
      (run.milliseconds - run.startMilliseconds) / Math.max(1, run.tokens)
    ),
  );
}

interface UsualRun {
  readonly startMilliseconds: number;
  /** Start of nearly the slowest runs. */
  readonly latestStartMilliseconds: number;
  readonly millisecondsPerToken: number;
}

function isTail(view: TailView): boolean {
  return view.waiting === 0 && view.finished.length >= MINIMUM_FINISHED_RUNS;
}

function describeUsualRun(finished: ReadonlyArray<FinishedRun>): UsualRun {
  const starts = finished.map((run) => run.startMilliseconds);
  return {
    startMilliseconds: getMedian(starts),
    latestStartMilliseconds: getQuantile(starts, STRAGGLER_QUANTILE),
    millisecondsPerToken: getUsualMillisecondsPerToken(finished),
  };
}

interface ExpectedEnds {
  /** Time until the first run would end, in milliseconds. */
  readonly byItself: number;
  /** Time until a second run would end, in milliseconds. */
  readonly bySecond: number;
}

function estimateEnds(sample: RunningSample, usual: UsualRun): ExpectedEnds {
  const left = sample.maximumTokens - sample.tokens;
  const usualRest = left * usual.millisecondsPerToken;
  const rate = sample.tokens > 0
    ? sample.generatingMilliseconds / sample.tokens
    : usual.millisecondsPerToken;
  // A server that was silent for some time is taken to stay so as long again.
  const byItself = Math.max(left * rate, sample.silentMilliseconds + usualRest);
  return { byItself, bySecond: usual.startMilliseconds + usualRest };
}

function getGain({ byItself, bySecond }: ExpectedEnds): number {
  return byItself - bySecond;
}

function isWorthwhile(ends: ExpectedEnds): boolean {
  return ends.byItself > ends.bySecond * STRAGGLER_FACTOR &&
    getGain(ends) > MINIMUM_GAIN_MILLISECONDS;
}

// The first run goes on until the second one gives its first token.
function estimateDoubledTokens(sample: RunningSample, usual: UsualRun): number {
  if (sample.tokens === 0) return 0;
  const millisecondsPerToken = Math.max(
    sample.generatingMilliseconds / sample.tokens,
    sample.silentMilliseconds,
  );
  return Math.ceil(usual.startMilliseconds / Math.max(1, millisecondsPerToken));
}

function takeWithin(
  runs: ReadonlyArray<SecondRun>,
  spareTokens: number,
): ReadonlyArray<SecondRun> {
  const chosen: SecondRun[] = [];
  let left = spareTokens;
  for (const run of runs) {
    if (run.tokens > left) continue;
    left -= run.tokens;
    chosen.push(run);
  }
  return chosen;
}
