/** Options of a load forecast. */
export interface LoadForecastOptions {
  /** How far ahead to forecast, such as the time until a newly ordered server accepts requests. */
  readonly aheadMilliseconds: number;
  /** How long load samples are retained. */
  readonly memoryMilliseconds: number;
}

interface Sample {
  readonly at: number;
  readonly load: number;
}

const HEADROOM_SHARE = 0.15;
const MAXIMUM_TREND_FACTOR = 1.5;

/**
 * Forecasts load from its level and linear trend; a recent maximum raises the forecast to at most
 * 1.5 times the level.
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

  /** @param options - The forecast horizon and the length of the history. */
  constructor(options: LoadForecastOptions) {
    this.#options = options;
  }

  /** Adds a load sample taken at a monotonic time in milliseconds. */
  add(at: number, load: number): void {
    const oldest = at - this.#options.memoryMilliseconds;
    this.#samples = this.#samples.filter((sample) => sample.at >= oldest);
    this.#samples.push({ at, load });
  }

  /** Returns the load to provide capacity for, including headroom. */
  predict(now: number): number {
    if (this.#samples.length === 0) return 0;
    const { level, slope } = this.#fitLine(now);
    const projected = level + slope * this.#options.aheadMilliseconds;
    const highest = Math.max(...this.#samples.map(({ load }) => load));
    const required = Math.max(
      Math.min(projected, MAXIMUM_TREND_FACTOR * highest),
      Math.min(highest, MAXIMUM_TREND_FACTOR * level),
      level,
    );
    return Math.max(0, required) * (1 + HEADROOM_SHARE);
  }

  /** Fits a line by least squares; the level is the value of the line at `now`. */
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
