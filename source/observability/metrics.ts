/** Labels of a series. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records metrics; no call blocks or throws. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, tags: MetricTags, amount?: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, tags: MetricTags): void;
  /** Adds one value to a histogram, such as a duration in milliseconds. */
  histogram(name: string, value: number, tags: MetricTags): void;
}

/** Metrics that discard all values. */
export const NO_METRICS: Metrics = {
  count(): void {},
  gauge(): void {},
  histogram(): void {},
};
