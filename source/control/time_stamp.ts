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
 * Tells whether a moment is less than a duration ago by both clocks, and the clocks agree.
 * A stopped machine halts the monotonic clock, and a stepped wall clock can hide that.
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
  const disagreement = Math.abs(monotonic - wall);
  return monotonic < durationMilliseconds && wall < durationMilliseconds &&
    disagreement <= CLOCK_DISAGREEMENT_MILLISECONDS;
}
