import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Metrics, MetricTags } from "./metrics.ts";
import { TagLimiter } from "./tag_limiter.ts";

const PREFIX = "snipepath_";
/**
 * Upper bounds of the histogram buckets in milliseconds, from the duration of one store call to the
 * longest wait of a trainer.
 */
const BUCKET_BOUNDS = [
  2,
  5,
  10,
  20,
  50,
  100,
  200,
  500,
  1000,
  2000,
  5000,
  12_000,
];

/**
 * Metrics held in memory, which a scraper fetches as text.
 * @example
 * ```ts
 * const metrics = new ScrapedMetrics();
 * metrics.count("calls", { outcome: "answered" });
 * const text = await metrics.text();
 * ```
 */
export class ScrapedMetrics implements Metrics {
  readonly #registry = new Registry();
  readonly #limiter = new TagLimiter();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, Histogram>();

  /** Returns the content type of the text. */
  get contentType(): string {
    return this.#registry.contentType;
  }

  /** Adds to a counter. */
  count(name: string, tags: MetricTags, amount = 1): void {
    const limited = this.#limiter.limit(tags);
    let counter = this.#counters.get(name);
    if (counter === undefined) {
      counter = new Counter(this.#options(name, limited));
      this.#counters.set(name, counter);
    }
    counter.inc(limited, amount);
  }

  /** Sets a gauge. */
  gauge(name: string, value: number, tags: MetricTags): void {
    const limited = this.#limiter.limit(tags);
    let gauge = this.#gauges.get(name);
    if (gauge === undefined) {
      gauge = new Gauge(this.#options(name, limited));
      this.#gauges.set(name, gauge);
    }
    gauge.set(limited, value);
  }

  /** Adds one value to a histogram. */
  histogram(name: string, value: number, tags: MetricTags): void {
    const limited = this.#limiter.limit(tags);
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      const options = this.#options(name, limited);
      histogram = new Histogram({ ...options, buckets: BUCKET_BOUNDS });
      this.#histograms.set(name, histogram);
    }
    histogram.observe(limited, value);
  }

  /** Returns all series in the Prometheus text format. */
  async text(): Promise<string> {
    return await this.#registry.metrics();
  }

  #options(
    name: string,
    tags: MetricTags,
  ): {
    name: string;
    help: string;
    labelNames: string[];
    registers: Registry[];
  } {
    return {
      name: PREFIX + name,
      help: name.replaceAll("_", " "),
      labelNames: Object.keys(tags),
      registers: [this.#registry],
    };
  }
}
