import { DecayedCounter } from "./decayed_counter.ts";

const HALF_LIFE_MILLISECONDS = 2000;
const MINIMUM_OBSERVED_MILLISECONDS = 500;
const MINIMUM_OBSERVED_STARTS = 2;

/**
 * Measures how fast the waiting requests of one class and organisation start. Time without waiting
 * requests doesn't count.
 */
export class DrainRate {
  readonly #starts = new DecayedCounter(HALF_LIFE_MILLISECONDS);
  readonly #waitingMilliseconds = new DecayedCounter(HALF_LIFE_MILLISECONDS);
  #updatedAt = 0;
  /** Number of waiting requests. */
  #waiting = 0;

  /** Records that a request joined the queue. */
  recordEnqueued(now: number): void {
    this.#advanceTo(now);
    this.#waiting += 1;
  }

  /** Records that a request left the queue without starting. */
  recordRemoved(now: number): void {
    this.#advanceTo(now);
    this.#waiting -= 1;
  }

  /** Records that a waiting request starts. */
  recordStarted(now: number): void {
    this.#advanceTo(now);
    this.#starts.add(1, now);
    this.#waiting -= 1;
  }

  /**
   * Returns the recent starts per second of time with waiting requests; undefined when too few
   * starts or too little such time were observed.
   */
  perSecond(now: number): number | undefined {
    this.#advanceTo(now);
    const observed = this.#waitingMilliseconds.value(now);
    const starts = this.#starts.value(now);
    const isInsufficient = observed < MINIMUM_OBSERVED_MILLISECONDS ||
      starts < MINIMUM_OBSERVED_STARTS;
    return isInsufficient ? undefined : starts / observed * 1000;
  }

  #advanceTo(now: number): void {
    if (this.#waiting > 0) {
      this.#waitingMilliseconds.add(now - this.#updatedAt, now);
    }
    this.#updatedAt = now;
  }
}
