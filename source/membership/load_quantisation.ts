import type { EngineLoad } from "../backends/engine_client.ts";

const EXACT_BELOW = 4;
const STEPS_PER_DOUBLING = 3;
const CACHE_STEP_PERMILLE = 100;

/** Load figures rounded to coarse steps, so that small changes need not be published. */
export interface QuantisedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly cacheFreePermille: number;
  readonly tokensPerSecond: number;
}

/**
 * Rounds a figure to steps of about a quarter of its value; figures up to 4 are only rounded to
 * whole numbers.
 * @param value - A figure of at least 0.
 * @example
 * ```ts
 * quantise(5); // 5
 * quantise(100); // 102
 * ```
 */
export function quantise(value: number): number {
  if (!(value > EXACT_BELOW)) return Math.max(0, Math.round(value) || 0);
  const step = Math.round(Math.log2(value) * STEPS_PER_DOUBLING);
  return Math.round(2 ** (step / STEPS_PER_DOUBLING));
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
 * Returns whether a load differs by a step or more from the published load.
 * @param published - The quantised figures published last.
 * @param load - The newest report.
 */
export function hasChangedByStep(
  published: QuantisedLoad,
  load: EngineLoad,
): boolean {
  return differsByStep(published.running, load.running) ||
    differsByStep(published.waiting, load.waiting) ||
    differsByStep(published.tokensPerSecond, load.tokensPerSecond) ||
    Math.abs(published.cacheFreePermille - load.cacheFreePermille) >=
      CACHE_STEP_PERMILLE;
}

/**
 * Returns whether two figures differ by at least a whole step; a smaller difference doesn't count,
 * so that a value between two steps isn't published as each of them in turn.
 */
function differsByStep(published: number, value: number): boolean {
  if (quantise(value) === published) return false;
  const difference = Math.abs(value - published);
  const larger = Math.max(value, published);
  if (larger <= EXACT_BELOW) return difference >= 1;
  return difference >= larger * (1 - 2 ** (-1 / STEPS_PER_DOUBLING));
}
