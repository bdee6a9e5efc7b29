import { performance } from "node:perf_hooks";
import type { Clock } from "./clock.ts";

/** Longest time that a timer takes; a longer one ends at once. */
const MAXIMUM_TIMER_MILLISECONDS = 0x7fff_ffff;

/**
 * Clock of the operating system.
 * @example
 * ```ts
 * const clock = new SystemClock();
 * await clock.sleep(100);
 * ```
 */
export class SystemClock implements Clock {
  /** Returns the milliseconds since the process started. */
  monotonic(): number {
    return performance.now();
  }

  /** Returns the milliseconds since the Unix epoch. */
  wall(): number {
    return Date.now();
  }

  /**
   * Waits for a duration.
   * @param milliseconds - Duration of the wait, in milliseconds.
   * @param signal - Ends the wait early when aborted.
   */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(
        finish,
        Math.min(milliseconds, MAXIMUM_TIMER_MILLISECONDS),
      );
      signal?.addEventListener("abort", finish, { once: true });
      function finish(): void {
        clearTimeout(timer);
        signal?.removeEventListener("abort", finish);
        resolve();
      }
    });
  }
}
