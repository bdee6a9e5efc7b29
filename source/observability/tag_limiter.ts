import type { MetricTags } from "./metrics.ts";

const MAXIMUM_SERIES_OF_A_TAG = 100;
const OTHER_VALUE = "other";

/**
 * Bounds the number of series: each tag keeps its first hundred values, later ones become "other",
 * so that many organisations can't make the number of series grow without bound.
 */
export class TagLimiter {
  readonly #values = new Map<string, Set<string>>();

  /** Returns tags whose values are bounded. */
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
    if (seen.size >= MAXIMUM_SERIES_OF_A_TAG) return OTHER_VALUE;
    seen.add(value);
    return value;
  }
}
