/**
 * Exponentially decayed sum: older amounts count less.
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
  #updatedAt = 0;

  /** @param halfLifeMilliseconds - Time in which an amount loses half its weight, in milliseconds. */
  constructor(halfLifeMilliseconds: number) {
    this.#halfLifeMilliseconds = halfLifeMilliseconds;
  }

  /** Adds an amount at a monotonic time in milliseconds. */
  add(amount: number, now: number): void {
    this.#value = this.value(now) + amount;
    this.#updatedAt = now;
  }

  /** Returns the decayed sum at a monotonic time in milliseconds. */
  value(now: number): number {
    const age = Math.max(0, now - this.#updatedAt);
    return this.#value * 2 ** (-age / this.#halfLifeMilliseconds);
  }
}
