import { getMedian, getQuantile } from "./quantile.ts";

/** One sample that a server runs now. */
export interface RunningSample {
  readonly index: number;
  readonly group: number;
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
  /** Whether it goes on from the tokens that the first run has, or begins anew. */
  readonly resumes: boolean;
  /** Tokens that it may use. */
  readonly tokens: number;
}

/** Chooses the samples that get a second run. */
export type TailPolicy = (view: TailView) => ReadonlyArray<SecondRun>;

/** Names of the tail policies. */
export type TailPolicyName = "none" | "hedgedTail" | "resumedTail";

const MINIMUM_FINISHED_RUNS = 4;
const STRAGGLER_FACTOR = 1.5;
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
 * Chooses samples whose rest would be done much sooner by a run of usual speed, once no sample
 * waits. The second run goes on from the tokens that the first one has.
 * @param view - The step's samples.
 * @example
 * ```ts
 * const second = chooseByProgress(view);
 * ```
 */
export function chooseByProgress(view: TailView): ReadonlyArray<SecondRun> {
  if (!isTail(view)) return [];
  const usual = describeUsualRun(view.finished);
  const stragglers = view.running
    .filter((sample) => sample.runs === 1)
    .map((sample) => ({ sample, gain: estimateGain(sample, usual) }))
    .filter(({ gain }) => gain > 0)
    .sort((left, right) => right.gain - left.gain)
    .map(({ sample }) => ({
      index: sample.index,
      resumes: true,
      tokens: sample.maximumTokens - sample.tokens,
    }));
  return takeWithin(stragglers, view.spareTokens);
}

interface UsualRun {
  readonly startMilliseconds: number;
  readonly millisecondsPerToken: number;
}

function isTail(view: TailView): boolean {
  return view.waiting === 0 && view.finished.length >= MINIMUM_FINISHED_RUNS;
}

function describeUsualRun(finished: ReadonlyArray<FinishedRun>): UsualRun {
  return {
    startMilliseconds: getMedian(finished.map((run) => run.startMilliseconds)),
    millisecondsPerToken: getMedian(
      finished.map((run) =>
        (run.milliseconds - run.startMilliseconds) / Math.max(1, run.tokens)
      ),
    ),
  };
}

function estimateGain(sample: RunningSample, usual: UsualRun): number {
  const left = sample.maximumTokens - sample.tokens;
  const usualRest = left * usual.millisecondsPerToken;
  const rate = sample.tokens > 0
    ? sample.generatingMilliseconds / sample.tokens
    : usual.millisecondsPerToken;
  // A server that was silent for some time is taken to stay so as long again.
  const byItself = Math.max(left * rate, sample.silentMilliseconds + usualRest);
  const bySecond = usual.startMilliseconds + usualRest;
  const isWorthwhile = byItself > bySecond * STRAGGLER_FACTOR &&
    byItself - bySecond > MINIMUM_GAIN_MILLISECONDS;
  return isWorthwhile ? byItself - bySecond : 0;
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
