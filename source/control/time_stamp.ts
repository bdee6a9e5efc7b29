import type { Clock } from "../utilities/clock.ts";

const MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS = 250;

/** A point in time on the monotonic and the wall clock, in milliseconds. */
export interface TimeStamp {
  readonly monotonic: number;
  readonly wall: number;
}

/** Reads the monotonic and the wall clock. */
export function takeTimeStamp(clock: Clock): TimeStamp {
  return { monotonic: clock.monotonic(), wall: clock.wall() };
}

/**
 * Returns whether both clocks agree on the time elapsed since a time stamp, to within 250 ms. They
 * disagree after a suspension of the instance, which halts the monotonic clock, and after a step of
 * the wall clock.
 * @param since - The time stamp.
 * @param clock - The clock that the time stamp was read from.
 * @example
 * ```ts
 * const sent = takeTimeStamp(clock);
 * doClocksAgree(sent, clock); // true
 * ```
 */
export function doClocksAgree(since: TimeStamp, clock: Clock): boolean {
  const monotonic = clock.monotonic() - since.monotonic;
  const wall = clock.wall() - since.wall;
  return Math.abs(monotonic - wall) <= MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS;
}

/**
 * Returns whether a time stamp is younger than a duration on both clocks, and the clocks agree.
 * @param since - The time stamp.
 * @param clock - The clock that the time stamp was read from.
 * @param durationMilliseconds - Maximum age, exclusive, in milliseconds.
 * @example
 * ```ts
 * const sent = takeTimeStamp(clock);
 * isFresh(sent, clock, 1000); // true
 * ```
 */
export function isFresh(
  since: TimeStamp,
  clock: Clock,
  durationMilliseconds: number,
): boolean {
  const monotonic = clock.monotonic() - since.monotonic;
  const wall = clock.wall() - since.wall;
  return monotonic < durationMilliseconds && wall < durationMilliseconds &&
    doClocksAgree(since, clock);
}
