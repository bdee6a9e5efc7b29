import { DecayedSum } from "./decayed_sum.ts";

/**
 * Mean whose older parts count less.
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

  /** @param halfLifeMilliseconds - Time in which a part loses half its weight. */
  constructor(halfLifeMilliseconds: number) {
    this.#total = new DecayedSum(halfLifeMilliseconds);
    this.#weight = new DecayedSum(halfLifeMilliseconds);
  }

  /** Adds a total that is spread over a weight. */
  add(
    total: number,
    part: { readonly weight: number; readonly now: number },
  ): void {
    this.#total.add(total, part.now);
    this.#weight.add(part.weight, part.now);
  }

  /** Returns the mean; undefined before anything was added. */
  value(now: number): number | undefined {
    const weight = this.#weight.value(now);
    return weight === 0 ? undefined : this.#total.value(now) / weight;
  }

  /** Returns how much the mean is based on now. */
  weight(now: number): number {
    return this.#weight.value(now);
  }
}
