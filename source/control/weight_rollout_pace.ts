import type { Clock } from "../utilities/clock.ts";

const FIRST_CONCURRENCY = 2;
const MAXIMUM_CONCURRENCY = 128;
const WORTHWHILE_GAIN = 1.15;
const CHANGED_RATE_FACTOR = 1.5;
const MINIMUM_TIMEOUT_MILLISECONDS = 10_000;
const FIRST_TIMEOUT_MILLISECONDS = 60_000;
const TIMEOUT_FACTOR = 5;

/**
 * Learns how many loads at once the weight store can feed.
 *
 * The number doubles while that raises the rate at which loads finish, and goes back when it does
 * not. A store whose rate changes much is learned anew.
 * @example
 * ```ts
 * const pace = new WeightRolloutPace(clock);
 * pace.noteLoaded();
 * const limit = pace.concurrency;
 * ```
 */
export class WeightRolloutPace {
  readonly #clock: Clock;
  #concurrency = FIRST_CONCURRENCY;
  #isLearned = false;
  #earlierRate = 0;
  #loadsPerMillisecond = 0;
  #windowStart: number | undefined;
  #loaded = 0;

  /** @param clock - Measures the rate. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Loads that may be under way at once. */
  get concurrency(): number {
    return this.#concurrency;
  }

  /** Loads that finish in a second; 0 when not known yet. */
  get loadsPerSecond(): number {
    return this.#loadsPerMillisecond * 1000;
  }

  /** How long one load may take before it counts as failed, in milliseconds. */
  get timeoutMilliseconds(): number {
    if (this.#loadsPerMillisecond === 0) return FIRST_TIMEOUT_MILLISECONDS;
    const usual = this.#concurrency / this.#loadsPerMillisecond;
    return Math.max(MINIMUM_TIMEOUT_MILLISECONDS, usual * TIMEOUT_FACTOR);
  }

  /** Notes that loads begin after a time without any. */
  noteBegin(): void {
    this.#windowStart = this.#clock.monotonic();
    this.#loaded = 0;
  }

  /** Notes that a load ended well. */
  noteLoaded(): void {
    if (this.#windowStart === undefined) return;
    this.#loaded += 1;
    if (this.#loaded < 2 * this.#concurrency) return;
    const now = this.#clock.monotonic();
    const milliseconds = Math.max(1, now - this.#windowStart);
    this.#learn(this.#loaded / milliseconds);
    this.#windowStart = now;
    this.#loaded = 0;
  }

  /** Notes that a load failed. */
  noteFailed(): void {
    this.#windowStart = this.#clock.monotonic();
    this.#loaded = 0;
  }

  #learn(rate: number): void {
    const known = this.#loadsPerMillisecond;
    this.#loadsPerMillisecond = rate;
    if (this.#isLearned) {
      const change = Math.max(rate / known, known / rate);
      if (change < CHANGED_RATE_FACTOR) return;
      this.#isLearned = false;
      this.#earlierRate = 0;
    }
    if (rate > this.#earlierRate * WORTHWHILE_GAIN) {
      this.#earlierRate = rate;
      this.#concurrency = Math.min(MAXIMUM_CONCURRENCY, this.#concurrency * 2);
      return;
    }
    this.#concurrency = Math.max(1, Math.floor(this.#concurrency / 2));
    this.#isLearned = true;
  }
}
