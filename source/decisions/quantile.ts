const MEDIAN = 0.5;

/**
 * Returns a quantile of a list of values; 0 when the list is empty.
 * @param values - The values, in any order.
 * @param quantile - The quantile, from 0 to 1.
 * @example
 * ```ts
 * getQuantile([3, 1, 2], 0.5); // 2
 * ```
 */
export function getQuantile(
  values: ReadonlyArray<number>,
  quantile: number,
): number {
  const sorted = [...values].sort((left, right) => left - right);
  const position = Math.floor(sorted.length * quantile);
  return sorted[Math.min(sorted.length - 1, position)] ?? 0;
}

/**
 * Returns the median of a list of values; 0 when the list is empty.
 * @param values - The values, in any order.
 * @example
 * ```ts
 * getMedian([3, 1, 2]); // 2
 * ```
 */
export function getMedian(values: ReadonlyArray<number>): number {
  return getQuantile(values, MEDIAN);
}
