import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers that a seed makes reproducible. */
export interface RandomSource {
  /** Returns a number from 0 up to but not including 1. */
  next(): number;
  /** Returns a whole number from 0 up to but not including the bound. */
  nextBelow(bound: number): number;
}

/**
 * Creates a random source from a seed.
 * @param seed - Whole number, of which the low 32 bits are used.
 * @example
 * ```ts
 * const random = createRandomSource(7);
 * const jitter = random.next() * 100;
 * ```
 */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed | 0);
  function next(): number {
    return (generator.next() >>> 0) / 0x1_0000_0000;
  }
  return { next, nextBelow: (bound) => Math.floor(next() * bound) };
}
