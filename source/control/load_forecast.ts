/** Options of a load forecast. */
export interface LoadForecastOptions {
  /** How far ahead to forecast, such as the time until a newly ordered server accepts requests. */
  readonly aheadMilliseconds: number;
  /** How long load measurements are retained. */
  readonly memoryMilliseconds: number;
}

interface LoadMeasurement {
  /** Monotonic time in milliseconds. */
  readonly measuredAt: number;
  readonly load: number;
}

const HEADROOM_SHARE = 0.15;
const MAXIMUM_TREND_FACTOR = 1.5;

/**
 * Forecasts load from its level and linear trend, plus 15% headroom; a recent maximum raises the
 * forecast without headroom to at most 1.5 times the level.
 * @example
 * ```ts
 * const forecast = new LoadForecast({ aheadMilliseconds: 60_000, memoryMilliseconds: 300_000 });
 * forecast.add(clock.monotonic(), 12);
 * forecast.predict(clock.monotonic());
 * ```
 */
export class LoadForecast {
  readonly #options: LoadForecastOptions;
  #measurements: LoadMeasurement[] = [];

  /** @param options - The forecast horizon and the length of the history. */
  constructor(options: LoadForecastOptions) {
    this.#options = options;
  }

  /**
   * Adds the load measured at a monotonic time in milliseconds, and deletes measurements that have
   * become too old.
   */
  add(measuredAt: number, load: number): void {
    const oldest = measuredAt - this.#options.memoryMilliseconds;
    this.#measurements = this.#measurements.filter((measurement) =>
      measurement.measuredAt >= oldest
    );
    this.#measurements.push({ measuredAt, load });
  }

  /**
   * Returns the load to provide capacity for, including headroom.
   * @param now - Monotonic time in milliseconds.
   */
  predict(now: number): number {
    if (this.#measurements.length === 0) return 0;
    const { level, slope } = this.#fitLine(now);
    const projected = level + slope * this.#options.aheadMilliseconds;
    const highest = Math.max(...this.#measurements.map(({ load }) => load));
    const required = Math.max(
      Math.min(projected, MAXIMUM_TREND_FACTOR * highest),
      Math.min(highest, MAXIMUM_TREND_FACTOR * level),
      level,
    );
    return Math.max(0, required) * (1 + HEADROOM_SHARE);
  }

  /** Fits a line by least squares; the level is the value of the line at `now`. */
  #fitLine(now: number): { readonly level: number; readonly slope: number } {
    const count = this.#measurements.length;
    const meanMeasuredAt =
      this.#measurements.reduce((sum, { measuredAt }) => sum + measuredAt, 0) /
      count;
    const meanLoad =
      this.#measurements.reduce((sum, { load }) => sum + load, 0) /
      count;
    let products = 0;
    let squares = 0;
    for (const { measuredAt, load } of this.#measurements) {
      products += (measuredAt - meanMeasuredAt) * (load - meanLoad);
      squares += (measuredAt - meanMeasuredAt) ** 2;
    }
    const slope = squares === 0 ? 0 : products / squares;
    return { level: meanLoad + slope * (now - meanMeasuredAt), slope };
  }
}
