/**
 * Sum whose older parts count less.
 * @example
 * ```ts
 * const failures = new DecayedSum(5_000);
 * failures.add(1, 0);
 * failures.value(5_000); // 0.5
 * ```
 */
export class DecayedSum {
  readonly #halfLifeMilliseconds: number;
  #value = 0;
  #at = 0;

  /** @param halfLifeMilliseconds - Time in which a part loses half its weight. */
  constructor(halfLifeMilliseconds: number) {
    this.#halfLifeMilliseconds = halfLifeMilliseconds;
  }

  /** Adds an amount. */
  add(amount: number, now: number): void {
    this.#value = this.value(now) + amount;
    this.#at = now;
  }

  /** Returns the sum as it weighs now. */
  value(now: number): number {
    const age = Math.max(0, now - this.#at);
    return this.#value * 2 ** (-age / this.#halfLifeMilliseconds);
  }
}
