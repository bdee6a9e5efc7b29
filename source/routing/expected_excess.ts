/**
 * Returns the expected value of the positive part, max(0, x), of a normally distributed number x.
 * @param mean - Mean of x.
 * @param deviation - Standard deviation of x; 0 if x is known exactly.
 * @example
 * ```ts
 * expectedExcess(2, 0); // 2
 * expectedExcess(-2, 0); // 0
 * ```
 */
export function expectedExcess(mean: number, deviation: number): number {
  if (deviation === 0) return Math.max(0, mean);
  const ratio = mean / deviation;
  return deviation * (normalDensity(ratio) + ratio * normalDistribution(ratio));
}

function normalDensity(value: number): number {
  return Math.exp(-value * value / 2) / Math.sqrt(2 * Math.PI);
}

// Logistic approximation of the normal distribution function with an error below 0.0002.
function normalDistribution(value: number): number {
  return 1 / (1 + Math.exp(-1.5976 * value - 0.07056 * value ** 3));
}
