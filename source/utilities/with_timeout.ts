import type { Clock } from "./clock.ts";
import { ENDED } from "./ended.ts";

/**
 * Waits for a promise up to a time limit.
 * @param promise - Promise to wait for; it continues after the time limit.
 * @param options - Clock and time limit in milliseconds.
 * @returns The promise's value; undefined when the time limit passed first.
 * @example
 * ```ts
 * const row = await withTimeout(table.get("keys", "a"), { clock, milliseconds: 500 });
 * ```
 */
export async function withTimeout<Value>(
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
