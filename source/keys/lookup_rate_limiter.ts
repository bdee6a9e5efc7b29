import type { Clock } from "../utilities/clock.ts";

/** Limits the rate of look-ups with a token bucket, so that requests with unknown keys can't overload the table. */
export class LookupRateLimiter {
  readonly #clock: Clock;
  readonly #perSecond: number;
  #tokens: number;
  #refilledAt: number;

  /**
   * @param clock - Source of time.
   * @param perSecond - The rate in look-ups per second, which is also the largest burst.
   */
  constructor(clock: Clock, perSecond: number) {
    this.#clock = clock;
    this.#perSecond = perSecond;
    this.#tokens = perSecond;
    this.#refilledAt = clock.monotonic();
  }

  /** Takes one token; returns false if the bucket is empty. */
  tryAcquire(): boolean {
    this.#refill();
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  #refill(): void {
    const now = this.#clock.monotonic();
    const gained = (now - this.#refilledAt) / 1000 * this.#perSecond;
    this.#tokens = Math.min(this.#perSecond, this.#tokens + gained);
    this.#refilledAt = now;
  }
}
