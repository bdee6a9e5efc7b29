/** A sum whose older parts weigh less: each part halves in weight every half-life. */
export class DecayedCounter {
  readonly #halfLife: number;
  #value = 0;
  #at = 0;

  /** @param halfLifeMilliseconds - Time after which a part counts half. */
  constructor(halfLifeMilliseconds: number) {
    this.#halfLife = halfLifeMilliseconds;
  }

  /**
   * Adds an amount; a negative one corrects an earlier estimate.
   * @param amount - The amount.
   * @param now - Monotonic time in milliseconds.
   */
  add(amount: number, now: number): void {
    this.#value = Math.max(0, this.value(now) + amount);
    this.#at = now;
  }

  /** Returns the sum at a time. */
  value(now: number): number {
    return decay(this.#value, now - this.#at, this.#halfLife);
  }

  /** Returns the rate of a steady stream with this sum, in units a second. */
  perSecond(now: number): number {
    return this.value(now) * Math.LN2 / this.#halfLife * 1000;
  }
}

/**
 * Returns what is left of an amount after some time.
 * @param amount - The amount at first.
 * @param milliseconds - How long ago that was.
 * @param halfLifeMilliseconds - Time after which half is left.
 * @example
 * ```ts
 * const left = decay(100, 10_000, 10_000); // 50
 * ```
 */
export function decay(
  amount: number,
  milliseconds: number,
  halfLifeMilliseconds: number,
): number {
  if (amount === 0 || milliseconds <= 0) return amount;
  return amount * 2 ** (-milliseconds / halfLifeMilliseconds);
}
