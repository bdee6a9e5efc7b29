import { DecayedSum } from "./decayed_sum.ts";

/**
 * Exponentially decayed weighted mean: older values count less.
 * @example
 * ```ts
 * const mean = new DecayedMean(10_000);
 * mean.add(20, { weight: 2, now: 0 });
 * mean.value(0); // 10, since the total of 20 is spread over a weight of 2
 * ```
 */
export class DecayedMean {
  readonly #total: DecayedSum;
  readonly #weight: DecayedSum;

  /** @param halfLifeMilliseconds - Time in which a value loses half its weight, in milliseconds. */
  constructor(halfLifeMilliseconds: number) {
    this.#total = new DecayedSum(halfLifeMilliseconds);
    this.#weight = new DecayedSum(halfLifeMilliseconds);
  }

  /** Adds a total and the weight over which it is spread, at a monotonic time in milliseconds. */
  add(
    total: number,
    part: { readonly weight: number; readonly now: number },
  ): void {
    this.#total.add(total, part.now);
    this.#weight.add(part.weight, part.now);
  }

  /** Returns the mean at a monotonic time in milliseconds; undefined while no weight was added. */
  value(now: number): number | undefined {
    const weight = this.#weight.value(now);
    return weight === 0 ? undefined : this.#total.value(now) / weight;
  }

  /** Returns the decayed weight on which the mean is based. */
  weight(now: number): number {
    return this.#weight.value(now);
  }
}
