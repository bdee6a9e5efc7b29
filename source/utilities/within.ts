import type { Clock } from "./clock.ts";
import { ENDED } from "./ended.ts";

/**
 * Waits for a promise, but no longer than a duration.
 * @param promise - What is waited for; it runs on when the time is up.
 * @param options - The clock and the duration in milliseconds.
 * @returns The promise's value; undefined when the time was up first.
 * @example
 * ```ts
 * const row = await within(table.get("keys", "a"), { clock, milliseconds: 500 });
 * ```
 */
export async function within<Value>(
  promise: Promise<Value>,
  options: { readonly clock: Clock; readonly milliseconds: number },
): Promise<Value | undefined> {
  const done = new AbortController();
  const late = options.clock.sleep(options.milliseconds, done.signal)
    .then(() => undefined);
  const value = await Promise.race([promise, late]);
  done.abort(ENDED);
  return value;
}
