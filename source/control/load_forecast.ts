/** How a forecast is made. */
export interface LoadForecastOptions {
  /** How far ahead the load must be met, such as the time until an ordered server serves. */
  readonly aheadMilliseconds: number;
  /** How long load is remembered. */
  readonly memoryMilliseconds: number;
}

interface Sample {
  readonly at: number;
  readonly load: number;
}

const HEADROOM_SHARE = 0.15;
const TREND_LIMIT = 1.5;

/**
 * Forecasts load from its level and trend, never below what was seen lately.
 * @example
 * ```ts
 * const forecast = new LoadForecast({ aheadMilliseconds: 60_000, memoryMilliseconds: 300_000 });
 * forecast.add(clock.monotonic(), 12);
 * forecast.predict(clock.monotonic());
 * ```
 */
export class LoadForecast {
  readonly #options: LoadForecastOptions;
  #samples: Sample[] = [];

  /** @param options - How far ahead and how far back. */
  constructor(options: LoadForecastOptions) {
    this.#options = options;
  }

  /** Adds the load at a monotonic time in milliseconds. */
  add(at: number, load: number): void {
    const oldest = at - this.#options.memoryMilliseconds;
    this.#samples = this.#samples.filter((sample) => sample.at >= oldest);
    this.#samples.push({ at, load });
  }

  /** Returns the load to be ready for, headroom included. */
  predict(now: number): number {
    if (this.#samples.length === 0) return 0;
    const { level, slope } = this.#fitLine(now);
    const ahead = level + slope * this.#options.aheadMilliseconds;
    const highest = Math.max(...this.#samples.map(({ load }) => load));
    const expected = Math.max(
      Math.min(ahead, TREND_LIMIT * highest),
      Math.min(highest, TREND_LIMIT * level),
      level,
    );
    return Math.max(0, expected) * (1 + HEADROOM_SHARE);
  }

  /** Fits a line by least squares; the level is its value now. */
  #fitLine(now: number): { readonly level: number; readonly slope: number } {
    const count = this.#samples.length;
    const meanAt = this.#samples.reduce((sum, { at }) => sum + at, 0) / count;
    const meanLoad = this.#samples.reduce((sum, { load }) => sum + load, 0) /
      count;
    let products = 0;
    let squares = 0;
    for (const { at, load } of this.#samples) {
      products += (at - meanAt) * (load - meanLoad);
      squares += (at - meanAt) ** 2;
    }
    const slope = squares === 0 ? 0 : products / squares;
    return { level: meanLoad + slope * (now - meanAt), slope };
  }
}
