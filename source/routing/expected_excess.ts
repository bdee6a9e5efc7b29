/**
 * Returns the mean of the part of a normally distributed number that is above zero.
 * @param mean - Mean of the number.
 * @param deviation - Its standard deviation; 0 for a certain number.
 * @example
 * ```ts
 * expectedExcess(2, 0); // 2
 * expectedExcess(-2, 0); // 0
 * ```
 */
export function expectedExcess(mean: number, deviation: number): number {
  if (deviation === 0) return Math.max(0, mean);
  const ratio = mean / deviation;
  return deviation * (density(ratio) + ratio * distribution(ratio));
}

function density(value: number): number {
  return Math.exp(-value * value / 2) / Math.sqrt(2 * Math.PI);
}

// Logistic approximation of the normal distribution, off by less than 0.0002.
function distribution(value: number): number {
  return 1 / (1 + Math.exp(-1.5976 * value - 0.07056 * value ** 3));
}
