import type { EngineLoad } from "../backends/engine_client.ts";

const EXACT_BELOW = 4;
const STEPS_PER_OCTAVE = 3;
const CACHE_STEP_PERMILLE = 100;

/** Load figures as they are told: coarse, so that small changes need no telling. */
export interface QuantisedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly cacheFreePermille: number;
  readonly tokensPerSecond: number;
}

/**
 * Rounds a figure to a step of about a quarter of itself; small ones stay exact.
 * @param value - A figure of at least 0.
 * @example
 * ```ts
 * quantise(5); // 5
 * quantise(100); // 102
 * ```
 */
export function quantise(value: number): number {
  if (!(value > EXACT_BELOW)) return Math.max(0, Math.round(value) || 0);
  const step = Math.round(Math.log2(value) * STEPS_PER_OCTAVE);
  return Math.round(2 ** (step / STEPS_PER_OCTAVE));
}

/**
 * Rounds the figures of a load report.
 * @param load - The report.
 */
export function quantiseLoad(load: EngineLoad): QuantisedLoad {
  const cacheSteps = Math.round(load.cacheFreePermille / CACHE_STEP_PERMILLE);
  return {
    running: quantise(load.running),
    waiting: quantise(load.waiting),
    cacheFreePermille: cacheSteps * CACHE_STEP_PERMILLE,
    tokensPerSecond: quantise(load.tokensPerSecond),
  };
}

/**
 * Returns whether a load has moved by a step or more from what was told.
 * @param told - The quantised figures told last.
 * @param load - The newest report.
 */
export function hasMoved(told: QuantisedLoad, load: EngineLoad): boolean {
  return hasMovedStep(told.running, load.running) ||
    hasMovedStep(told.waiting, load.waiting) ||
    hasMovedStep(told.tokensPerSecond, load.tokensPerSecond) ||
    Math.abs(told.cacheFreePermille - load.cacheFreePermille) >=
      CACHE_STEP_PERMILLE;
}

/** A value between two steps must not flip between them, so a whole step counts as a move. */
function hasMovedStep(told: number, value: number): boolean {
  if (quantise(value) === told) return false;
  const difference = Math.abs(value - told);
  const larger = Math.max(value, told);
  if (larger <= EXACT_BELOW) return difference >= 1;
  return difference >= larger * (1 - 2 ** (-1 / STEPS_PER_OCTAVE));
}
