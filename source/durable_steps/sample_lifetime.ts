import { ENDED } from "../utilities/ended.ts";

/** The time in which a sample may run. */
export interface SampleLifetime {
  /** Aborted when the run of the step stops or the lifetime expires. */
  readonly signal: AbortSignal;
  /** Releases the timer and the listener. */
  readonly end: () => void;
}

/**
 * Creates the lifetime of a sample. The remaining time is read again when it has passed, so a
 * configuration that lengthens it applies to samples that have begun.
 * @param stop - Aborted when the run of the step stops.
 * @param getRemainingMilliseconds - Returns the remaining time under the configuration in force, in
 * milliseconds and short enough for a timer.
 * @example
 * ```ts
 * const lifetime = createSampleLifetime(stop.signal, () => dueAt - clock.monotonic());
 * await run(lifetime.signal);
 * lifetime.end();
 * ```
 */
export function createSampleLifetime(
  stop: AbortSignal,
  getRemainingMilliseconds: () => number,
): SampleLifetime {
  const controller = new AbortController();
  let timer: NodeJS.Timeout | undefined;
  const expire = (): void => controller.abort(ENDED);
  const wait = (): void => {
    const remaining = getRemainingMilliseconds();
    if (remaining <= 0) return expire();
    timer = setTimeout(wait, remaining);
  };
  stop.addEventListener("abort", expire, { once: true });
  if (stop.aborted) expire();
  else wait();
  const end = (): void => {
    clearTimeout(timer);
    stop.removeEventListener("abort", expire);
  };
  return { signal: controller.signal, end };
}
