/** Latest time that a date can have, in milliseconds since the Unix epoch. */
const LATEST_TIME_MILLISECONDS = 8.64e15;
const MAXIMUM_PORT = 65_535;

/**
 * Whether a value is a whole number from 0 on that is represented exactly.
 * @param value - Any value, as of a row that another program may have written.
 * @param maximum - The largest number that is allowed.
 * @example
 * ```ts
 * isCount(8); // true
 * isCount(JSON.parse("1e400")); // false
 * ```
 */
export function isCount(
  value: unknown,
  maximum: number = Number.MAX_SAFE_INTEGER,
): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0 &&
    Number(value) <= maximum;
}

/**
 * Whether a value is a finite number of a limited size.
 * @param value - Any value.
 * @param limits - The smallest and the largest number that are allowed.
 * @example
 * ```ts
 * isBetween(0.5, { maximum: 1 }); // true
 * isBetween(NaN, { maximum: 1 }); // false
 * ```
 */
export function isBetween(
  value: unknown,
  { minimum = 0, maximum }: {
    readonly minimum?: number;
    readonly maximum: number;
  },
): value is number {
  return typeof value === "number" && value >= minimum && value <= maximum;
}

/**
 * Whether a value is a time in milliseconds since the Unix epoch.
 * @param value - Any value.
 * @example
 * ```ts
 * isUnixTime(Date.now()); // true
 * ```
 */
export function isUnixTime(value: unknown): value is number {
  return isBetween(value, { maximum: LATEST_TIME_MILLISECONDS });
}

/**
 * Whether a text is an address that a connection can be opened to.
 * @param value - Any value; an address is HOST:PORT with a port from 1 on.
 * @example
 * ```ts
 * isAddress("10.1.0.7:8368"); // true
 * isAddress("10.1.0.7:99999"); // false
 * ```
 */
export function isAddress(value: unknown): value is string {
  const match = typeof value === "string"
    ? /^[\w.-]+:(\d{1,5})$/.exec(value)
    : null;
  const port = Number(match?.[1] ?? 0);
  return port > 0 && port <= MAXIMUM_PORT;
}
