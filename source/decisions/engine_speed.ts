/** Weight of a new measurement in the moving average of an engine's recent time per event. */
const RECENT_WEIGHT = 0.15;
/** Time after an engine's last event for which its recent time per event is used. */
const RECENT_MILLISECONDS = 4000;
/** Time constant of the average that describes an engine's usual speed. */
const USUAL_TIME_CONSTANT_MILLISECONDS = 60_000;
/** Time after which the usual speed of an engine without new measurements has half its weight. */
const HALF_LIFE_MILLISECONDS = 60_000;
/**
 * Multiple of the average to which one measurement is limited, because a single long gap between two
 * events does not make an engine slow. An engine that is 8 times slower exceeds 4 times the average
 * after 4 events.
 */
const MAXIMUM_FACTOR = 5;

/**
 * Learns the time that an engine takes for an event.
 *
 * Load pattern: some engines are slower for good, by a factor of up to 2.4; others are 4 to 8 times
 * slower for a while. The recent average shows both. After a while without events, only the usual
 * speed is known, with less weight the older it is, so that an engine that was slow for a while is
 * tried again and one that is slow for good is not mistaken for a usual one.
 * @example
 * ```ts
 * const speed = new EngineSpeed();
 * speed.record(41, now);
 * const milliseconds = speed.expect(now, 40);
 * ```
 */
export class EngineSpeed {
  #recent: number | undefined;
  #usual: number | undefined;
  #measuredAt = 0;

  /** Usual time per event in milliseconds; undefined without a measurement. */
  get usual(): number | undefined {
    return this.#usual;
  }

  /** Records the time since the previous event of the same response. */
  record(milliseconds: number, now: number): void {
    const average = this.#recent ?? milliseconds;
    const measured = Math.min(milliseconds, MAXIMUM_FACTOR * average);
    this.#recent = average + RECENT_WEIGHT * (measured - average);
    const usual = this.#usual ?? milliseconds;
    const elapsed = Math.min(now - this.#measuredAt, milliseconds);
    const weight = 1 - Math.exp(-elapsed / USUAL_TIME_CONSTANT_MILLISECONDS);
    this.#usual = usual + weight * (this.#recent - usual);
    this.#measuredAt = now;
  }

  /** Returns the recent time per event; undefined without a recent measurement. */
  recent(now: number): number | undefined {
    return now - this.#measuredAt < RECENT_MILLISECONDS
      ? this.#recent
      : undefined;
  }

  /**
   * Returns the expected time per event.
   * @param now - Monotonic time, in milliseconds.
   * @param others - Usual time per event of all engines, in milliseconds.
   */
  expect(now: number, others: number): number {
    const recent = this.recent(now);
    if (recent !== undefined) return recent;
    if (this.#usual === undefined) return others;
    const age = now - this.#measuredAt;
    return others +
      (this.#usual - others) * 0.5 ** (age / HALF_LIFE_MILLISECONDS);
  }
}
