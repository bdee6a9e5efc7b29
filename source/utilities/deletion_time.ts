import type { Clock } from "./clock.ts";

/**
 * Returns a function that gives the time, in Unix milliseconds, by which old rows are deleted: the
 * wall time, but not later than the time of this call plus what has elapsed since. A wall clock that
 * steps forward, and maybe back, makes no row old.
 * @example
 * ```ts
 * const clock = new ManualClock(0);
 * const deletionTime = createDeletionTime(clock);
 * clock.stepWall(86_400_000);
 * deletionTime(); // 0
 * ```
 */
export function createDeletionTime(
  clock: Pick<Clock, "monotonic" | "wall">,
): () => number {
  const start = clock.wall() - clock.monotonic();
  return () => Math.min(clock.wall(), start + clock.monotonic());
}
