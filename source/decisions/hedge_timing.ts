import { getQuantile } from "./quantile.ts";
import { RecentDurations } from "./recent_durations.ts";

const HEDGED_QUANTILE = 0.95;
/** Number of durations below which the quantile is not used. */
const MINIMUM_DURATIONS = 20;
/** Share of the latency target after which a call is hedged while its durations are not known. */
const UNKNOWN_DELAY_SHARE = 0.6;
/** Least share of the latency target after which a call is hedged. */
const MINIMUM_DELAY_SHARE = 0.3;

/**
 * Decides after which time a call that may run twice is sent to a second server.
 *
 * Load pattern: one of several servers is slow or silent. A call that takes longer than nearly all
 * others probably met that server, and a second one answers in time. When all servers are slow, the
 * delay grows with their durations, so that hedges don't double the load.
 * @example
 * ```ts
 * const timing = new HedgeTiming();
 * timing.record("orders", 43);
 * const delay = timing.delayMilliseconds("orders", 186);
 * ```
 */
export class HedgeTiming {
  readonly #durations = new RecentDurations();

  /** Records the duration of an answered call of a route, in milliseconds. */
  record(route: string, milliseconds: number): void {
    this.#durations.record(route, milliseconds);
  }

  /**
   * Returns the delay before a call is hedged, in milliseconds.
   * @param route - Name of the call's route.
   * @param targetMilliseconds - Latency target of the route.
   */
  delayMilliseconds(route: string, targetMilliseconds: number): number {
    const durations = this.#durations.get(route);
    if (durations.length < MINIMUM_DURATIONS) {
      return UNKNOWN_DELAY_SHARE * targetMilliseconds;
    }
    return Math.max(
      MINIMUM_DELAY_SHARE * targetMilliseconds,
      getQuantile(durations, HEDGED_QUANTILE),
    );
  }
}
