/** Share of a step's tokens that second runs may generate twice before the budget grows. */
const MINIMUM_BUDGET_SHARE = 0.02;
/** Share that second runs may generate twice when the step is expected to miss its deadline. */
const MAXIMUM_BUDGET_SHARE = 0.1;
/** Expected completion time, as a share of the deadline, above which the budget grows. */
const PRESSURE_START_SHARE = 0.5;

/** Progress of a step towards its deadline. */
export interface StepProgress {
  /** Time since this node started to run the step, in milliseconds. */
  readonly elapsedMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** Share of the requested samples that are finished, from 0 to 1. */
  readonly finishedShare: number;
  /** Whether the class of work may only use capacity that other classes do not need. */
  readonly isDeferrable: boolean;
}

/**
 * Returns the share of a step's tokens that second runs may generate twice. The share grows as the
 * expected completion time of the step approaches its deadline; it is 0 for a deferrable class.
 * @param progress - Progress of the step.
 * @example
 * ```ts
 * getBudgetShare({ elapsedMilliseconds: 900, deadlineMilliseconds: 1000, finishedShare: 0.9, isDeferrable: false }); // 0.1
 * ```
 */
export function getBudgetShare(progress: StepProgress): number {
  if (progress.isDeferrable) return 0;
  if (progress.finishedShare === 0) return MINIMUM_BUDGET_SHARE;
  const expectedMilliseconds = progress.elapsedMilliseconds /
    progress.finishedShare;
  const deadlineShare = expectedMilliseconds / progress.deadlineMilliseconds;
  const pressure = (deadlineShare - PRESSURE_START_SHARE) /
    (1 - PRESSURE_START_SHARE);
  const bounded = Math.min(1, Math.max(0, pressure));
  return MINIMUM_BUDGET_SHARE +
    (MAXIMUM_BUDGET_SHARE - MINIMUM_BUDGET_SHARE) * bounded;
}
