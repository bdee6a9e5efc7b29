const RELAXED_SHARE = 0.02;
const PRESSED_SHARE = 0.1;
const RELAXED_PROGRESS = 0.5;

/** How a step stands against its deadline. */
export interface StepProgress {
  /** Time since the step began, in milliseconds. */
  readonly elapsedMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** Finished samples over wanted ones. */
  readonly finishedShare: number;
  /** Whether the class of work uses only what others leave over. */
  readonly isDeferrable: boolean;
}

/**
 * Returns the share of a step's tokens that second runs may use. It grows as the step's expected
 * end comes near its deadline, and is 0 for a class that may wait.
 * @param progress - How the step stands.
 * @example
 * ```ts
 * getSpareShare({ elapsedMilliseconds: 900, deadlineMilliseconds: 1000, finishedShare: 0.9, isDeferrable: false }); // 0.1
 * ```
 */
export function getSpareShare(progress: StepProgress): number {
  if (progress.isDeferrable) return 0;
  if (progress.finishedShare === 0) return RELAXED_SHARE;
  const expected = progress.elapsedMilliseconds / progress.finishedShare;
  const used = expected / progress.deadlineMilliseconds;
  const pressure = (used - RELAXED_PROGRESS) / (1 - RELAXED_PROGRESS);
  const bounded = Math.min(1, Math.max(0, pressure));
  return RELAXED_SHARE + (PRESSED_SHARE - RELAXED_SHARE) * bounded;
}
