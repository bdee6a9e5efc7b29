import type { MetricTags } from "./metrics.ts";

const MAXIMUM_VALUES_PER_TAG = 100;
const OTHER_VALUE = "other";

/**
 * Bounds the number of series: keeps the first 100 values of each tag and replaces later values by
 * "other", so that the number of series does not grow with the number of organisations.
 */
export class TagLimiter {
  readonly #values = new Map<string, Set<string>>();

  /** Returns the tags with values beyond the limit replaced. */
  limit(tags: MetricTags): Record<string, string> {
    return Object.fromEntries(
      Object.entries(tags).map(([tag, value]) => [
        tag,
        this.#limitValue(tag, value),
      ]),
    );
  }

  #limitValue(tag: string, value: string): string {
    const seen = this.#values.get(tag) ?? new Set<string>();
    this.#values.set(tag, seen);
    if (seen.has(value)) return value;
    if (seen.size >= MAXIMUM_VALUES_PER_TAG) return OTHER_VALUE;
    seen.add(value);
    return value;
  }
}
