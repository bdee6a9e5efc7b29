import { DecayedCounter } from "./decayed_counter.ts";

const HALF_LIFE_MILLISECONDS = 2000;
const LEAST_OBSERVED_MILLISECONDS = 500;
const LEAST_OBSERVED_STARTS = 2;

/** How fast the waiting requests of one class and organisation are started, measured while some wait. */
export class DrainRate {
  readonly #started = new DecayedCounter(HALF_LIFE_MILLISECONDS);
  readonly #waitingTime = new DecayedCounter(HALF_LIFE_MILLISECONDS);
  #notedAt = 0;
  #waiting = 0;

  /** Notes that a request began to wait. */
  noteWaiting(now: number): void {
    this.#noteTime(now);
    this.#waiting += 1;
  }

  /** Notes that a waiting request was given up. */
  noteGivenUp(now: number): void {
    this.#noteTime(now);
    this.#waiting -= 1;
  }

  /** Notes that a waiting request was started. */
  noteStarted(now: number): void {
    this.#noteTime(now);
    this.#started.add(1, now);
    this.#waiting -= 1;
  }

  /** Returns starts a second of late; undefined when too few were seen. */
  perSecond(now: number): number | undefined {
    this.#noteTime(now);
    const observed = this.#waitingTime.value(now);
    const started = this.#started.value(now);
    const isTooLittle = observed < LEAST_OBSERVED_MILLISECONDS ||
      started < LEAST_OBSERVED_STARTS;
    return isTooLittle ? undefined : started / observed * 1000;
  }

  #noteTime(now: number): void {
    if (this.#waiting > 0) this.#waitingTime.add(now - this.#notedAt, now);
    this.#notedAt = now;
  }
}
