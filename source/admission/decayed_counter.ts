/** Exponentially decayed sum: the weight of each amount halves every half-life. */
export class DecayedCounter {
  readonly #halfLifeMilliseconds: number;
  #value = 0;
  #updatedAt = 0;

  /** @param halfLifeMilliseconds - Time in which an amount loses half its weight, in milliseconds. */
  constructor(halfLifeMilliseconds: number) {
    this.#halfLifeMilliseconds = halfLifeMilliseconds;
  }

  /**
   * Adds an amount; a negative one corrects an earlier estimate. The sum doesn't fall below 0.
   * @param amount - The amount.
   * @param now - Monotonic time in milliseconds.
   */
  add(amount: number, now: number): void {
    this.#value = Math.max(0, this.value(now) + amount);
    this.#updatedAt = now;
  }

  /** Returns the decayed sum at a monotonic time in milliseconds. */
  value(now: number): number {
    return decay(
      this.#value,
      now - this.#updatedAt,
      this.#halfLifeMilliseconds,
    );
  }

  /** Returns the constant rate, in units per second, that would produce this sum. */
  perSecond(now: number): number {
    return this.value(now) * Math.LN2 / this.#halfLifeMilliseconds * 1000;
  }
}

/**
 * Returns the remaining weight of an amount after some time.
 * @param amount - The amount when it was added.
 * @param milliseconds - Time since then, in milliseconds.
 * @param halfLifeMilliseconds - Time in which half of the amount decays, in milliseconds.
 * @example
 * ```ts
 * const remaining = decay(100, 10_000, 10_000); // 50
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
