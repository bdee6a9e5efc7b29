import { StatsD } from "hot-shots";
import type { Metrics, MetricTags } from "./metrics.ts";
import { TagLimiter } from "./tag_limiter.ts";

const PREFIX = "snipepath.";

/** Receiver of the metrics and name of their sender. */
export interface StatsdMetricsOptions {
  /** HOST:PORT of the statsd receiver. */
  readonly address: string;
  readonly node: string;
}

/**
 * Metrics sent as datagrams to a statsd receiver, with a bounded number of series.
 * @example
 * ```ts
 * const metrics = new StatsdMetrics({ address: "127.0.0.1:8125", node: "node-1" });
 * metrics.histogram("request.milliseconds", 12, { organisation: "school-3" });
 * ```
 */
export class StatsdMetrics implements Metrics {
  readonly #client: StatsD;
  readonly #limiter = new TagLimiter();

  /** @param options - Receiver of the metrics and name of this node. */
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
    this.#client.increment(name, amount, this.#limiter.limit(tags));
  }

  /** Sets a gauge. */
  gauge(name: string, value: number, tags: MetricTags): void {
    this.#client.gauge(name, value, this.#limiter.limit(tags));
  }

  /** Adds one value to a histogram. */
  histogram(name: string, value: number, tags: MetricTags): void {
    this.#client.histogram(name, value, this.#limiter.limit(tags));
  }

  /** Closes the socket after the buffered metrics have been sent. */
  close(): Promise<void> {
    return new Promise((resolve) => this.#client.close(() => resolve()));
  }
}
