/** One sample that is running now. */
export interface RunningSample {
  readonly index: number;
  readonly group: number;
  /** Time since the first run of the sample started, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Tokens generated so far by the run that is furthest. */
  readonly tokens: number;
  readonly maximumTokens: number;
  /** Runs of the sample that are active. */
  readonly runs: number;
}

/** What a tail policy sees of a step. */
export interface TailView {
  readonly running: ReadonlyArray<RunningSample>;
  /** Samples not started yet. */
  readonly waiting: number;
  /** Times that finished runs took, in milliseconds. */
  readonly finishedMilliseconds: ReadonlyArray<number>;
  /** Tokens that second runs may still use. */
  readonly spareTokens: number;
}

/** Chooses the samples that get a second run. */
export type TailPolicy = (view: TailView) => ReadonlyArray<number>;

/** Names of the tail policies. */
export type TailPolicyName = "none" | "hedgedTail";

const MINIMUM_FINISHED_RUNS = 4;
const STRAGGLER_FACTOR = 1.5;
const STRAGGLER_QUANTILE = 0.95;

/** Tail policies by name. */
export const TAIL_POLICIES: Readonly<Record<TailPolicyName, TailPolicy>> = {
  none: () => [],
  hedgedTail: chooseStragglers,
};

/**
 * Chooses samples that run much longer than finished ones did, once no sample waits.
 * @param view - The step's samples.
 * @example
 * ```ts
 * const second = chooseStragglers(view);
 * ```
 */
export function chooseStragglers(view: TailView): ReadonlyArray<number> {
  if (view.waiting > 0) return [];
  if (view.finishedMilliseconds.length < MINIMUM_FINISHED_RUNS) return [];
  const usual = getQuantile(view.finishedMilliseconds, STRAGGLER_QUANTILE);
  const stragglers = view.running
    .filter((sample) => sample.runs === 1)
    .filter((sample) => sample.ageMilliseconds > usual * STRAGGLER_FACTOR)
    .sort((left, right) => right.ageMilliseconds - left.ageMilliseconds);
  return takeWithin(stragglers, view.spareTokens);
}

function takeWithin(
  samples: ReadonlyArray<RunningSample>,
  spareTokens: number,
): ReadonlyArray<number> {
  const chosen: number[] = [];
  let left = spareTokens;
  for (const sample of samples) {
    if (sample.maximumTokens > left) break;
    left -= sample.maximumTokens;
    chosen.push(sample.index);
  }
  return chosen;
}

function getQuantile(values: ReadonlyArray<number>, quantile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const position = Math.min(
    sorted.length - 1,
    Math.floor(sorted.length * quantile),
  );
  return sorted[position] ?? 0;
}
