import type { Clock } from "../utilities/clock.ts";

const CLOCK_DISAGREEMENT_MILLISECONDS = 250;

/** One moment on both clocks, in milliseconds. */
export interface TimeStamp {
  readonly monotonic: number;
  readonly wall: number;
}

/** Reads both clocks. */
export function takeTimeStamp(clock: Clock): TimeStamp {
  return { monotonic: clock.monotonic(), wall: clock.wall() };
}

/**
 * Tells whether both clocks agree on the time since a moment. A suspended machine halts the
 * monotonic clock, and a step changes the wall clock.
 * @param since - The moment.
 * @param clock - The same clock that gave the moment.
 * @example
 * ```ts
 * const sent = takeTimeStamp(clock);
 * doClocksAgree(sent, clock); // true
 * ```
 */
export function doClocksAgree(since: TimeStamp, clock: Clock): boolean {
  const monotonic = clock.monotonic() - since.monotonic;
  const wall = clock.wall() - since.wall;
  return Math.abs(monotonic - wall) <= CLOCK_DISAGREEMENT_MILLISECONDS;
}

/**
 * Tells whether a moment is less than a duration ago by both clocks, and the clocks agree.
 * @param since - The moment.
 * @param clock - The same clock that gave the moment.
 * @param durationMilliseconds - The duration.
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
