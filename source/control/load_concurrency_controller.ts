import type { Clock } from "../utilities/clock.ts";

const FIRST_CONCURRENCY = 2;
const MAXIMUM_CONCURRENCY = 128;
const MINIMUM_RATE_GAIN_FACTOR = 1.15;
const CHANGED_RATE_FACTOR = 1.5;
const MINIMUM_TIMEOUT_MILLISECONDS = 10_000;
const FIRST_TIMEOUT_MILLISECONDS = 60_000;
const TIMEOUT_FACTOR = 5;

/**
 * Estimates how many concurrent loads the weight store can sustain.
 *
 * The concurrency doubles as long as doubling increases the rate of completed loads by more than
 * 15%, and is halved once it does not. The estimate restarts when the measured rate changes by a
 * factor of 1.5 or more.
 * @example
 * ```ts
 * const controller = new LoadConcurrencyController(clock);
 * controller.startMeasurement();
 * controller.recordSuccess();
 * const limit = controller.concurrency;
 * ```
 */
export class LoadConcurrencyController {
  readonly #clock: Clock;
  #concurrency = FIRST_CONCURRENCY;
  #isSettled = false;
  #previousLoadsPerMillisecond = 0;
  #loadsPerMillisecond = 0;
  #measurementStartedAt: number | undefined;
  #completedLoads = 0;

  /** @param clock - The clock for measuring the rate. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Maximum number of concurrent loads. */
  get concurrency(): number {
    return this.#concurrency;
  }

  /** Completed loads per second; 0 while unknown. */
  get loadsPerSecond(): number {
    return this.#loadsPerMillisecond * 1000;
  }

  /** Time after which an unanswered load counts as failed, in milliseconds. */
  get timeoutMilliseconds(): number {
    if (this.#loadsPerMillisecond === 0) return FIRST_TIMEOUT_MILLISECONDS;
    const expected = this.#concurrency / this.#loadsPerMillisecond;
    return Math.max(MINIMUM_TIMEOUT_MILLISECONDS, expected * TIMEOUT_FACTOR);
  }

  /** Starts a new measurement when a rollout begins. */
  startMeasurement(): void {
    this.#measurementStartedAt = this.#clock.monotonic();
    this.#completedLoads = 0;
  }

  /**
   * Records a completed load; once twice as many loads as `concurrency` are complete, updates the
   * rate and the concurrency.
   */
  recordSuccess(): void {
    if (this.#measurementStartedAt === undefined) return;
    this.#completedLoads += 1;
    if (this.#completedLoads < 2 * this.#concurrency) return;
    const now = this.#clock.monotonic();
    const milliseconds = Math.max(1, now - this.#measurementStartedAt);
    this.#updateConcurrency(this.#completedLoads / milliseconds);
    this.#measurementStartedAt = now;
    this.#completedLoads = 0;
  }

  /** Records a failed load, which restarts the measurement. */
  recordFailure(): void {
    this.#measurementStartedAt = this.#clock.monotonic();
    this.#completedLoads = 0;
  }

  #updateConcurrency(loadsPerMillisecond: number): void {
    const previous = this.#loadsPerMillisecond;
    this.#loadsPerMillisecond = loadsPerMillisecond;
    if (this.#isSettled) {
      const change = Math.max(
        loadsPerMillisecond / previous,
        previous / loadsPerMillisecond,
      );
      if (change < CHANGED_RATE_FACTOR) return;
      this.#isSettled = false;
      this.#previousLoadsPerMillisecond = 0;
    }
    if (
      loadsPerMillisecond >
        this.#previousLoadsPerMillisecond * MINIMUM_RATE_GAIN_FACTOR
    ) {
      this.#previousLoadsPerMillisecond = loadsPerMillisecond;
      this.#concurrency = Math.min(MAXIMUM_CONCURRENCY, this.#concurrency * 2);
      return;
    }
    this.#concurrency = Math.max(1, Math.floor(this.#concurrency / 2));
    this.#isSettled = true;
  }
}
