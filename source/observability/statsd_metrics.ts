import { StatsD } from "hot-shots";
import type { Metrics, MetricTags } from "./metrics.ts";

const PREFIX = "snipepath.";
const MAXIMUM_SERIES_OF_A_TAG = 100;
const OTHER_VALUE = "other";

/** Where metrics go. */
export interface StatsdMetricsOptions {
  /** HOST:PORT of the statsd receiver. */
  readonly address: string;
  readonly node: string;
}

/**
 * Metrics sent as datagrams to a statsd receiver.
 *
 * Each tag keeps its first hundred values; later ones are counted as "other", so that
 * many organisations can't make the number of series grow without bound.
 * @example
 * ```ts
 * const metrics = new StatsdMetrics({ address: "127.0.0.1:8125", node: "node-1" });
 * metrics.histogram("request.milliseconds", 12, { organisation: "school-3" });
 * ```
 */
export class StatsdMetrics implements Metrics {
  readonly #client: StatsD;
  readonly #values = new Map<string, Set<string>>();

  /** @param options - Where metrics go. */
  constructor(options: StatsdMetricsOptions) {
    const separator = options.address.lastIndexOf(":");
    this.#client = new StatsD({
      host: options.address.slice(0, separator),
      port: Number(options.address.slice(separator + 1)),
      prefix: PREFIX,
      globalTags: { node: options.node },
      errorHandler: () => {},
    });
  }

  /** Adds to a counter. */
  count(name: string, tags: MetricTags, amount = 1): void {
    this.#client.increment(name, amount, this.#bounded(tags));
  }

  /** Sets a gauge. */
  gauge(name: string, value: number, tags: MetricTags): void {
    this.#client.gauge(name, value, this.#bounded(tags));
  }

  /** Adds one value to a histogram. */
  histogram(name: string, value: number, tags: MetricTags): void {
    this.#client.histogram(name, value, this.#bounded(tags));
  }

  /** Closes the socket after what is buffered has been sent. */
  close(): Promise<void> {
    return new Promise((resolve) => this.#client.close(() => resolve()));
  }

  #bounded(tags: MetricTags): Record<string, string> {
    return Object.fromEntries(
      Object.entries(tags).map(([tag, value]) => [
        tag,
        this.#boundedValue(tag, value),
      ]),
    );
  }

  #boundedValue(tag: string, value: string): string {
    const seen = this.#values.get(tag) ?? new Set<string>();
    this.#values.set(tag, seen);
    if (seen.has(value)) return value;
    if (seen.size >= MAXIMUM_SERIES_OF_A_TAG) return OTHER_VALUE;
    seen.add(value);
    return value;
  }
}
