/** Labels of a series. */
export type MetricTags = Readonly<Record<string, string>>;

/** Writes metrics; every call returns at once and never fails. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, tags: MetricTags, amount?: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, tags: MetricTags): void;
  /** Adds one value to a histogram, such as a duration in milliseconds. */
  histogram(name: string, value: number, tags: MetricTags): void;
}

/** Metrics that go nowhere. */
export const NO_METRICS: Metrics = {
  count(): void {},
  gauge(): void {},
  histogram(): void {},
};
