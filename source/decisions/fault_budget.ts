/** Length of the window in which unexpected errors are counted, in milliseconds. */
const WINDOW_MILLISECONDS = 60_000;
/** Number of unexpected errors in a window from which a process ends, so that it is started anew. */
const MAXIMUM_FAULTS = 20;

/**
 * Decides whether a process goes on after an unexpected error.
 *
 * Load pattern: one malformed message or one race of a rare kind fails a single call or background
 * task, while thousands of other calls run in the same process and would all be cut off by its end. A
 * process in a broken state fails again and again within seconds instead, and only a new start mends
 * it.
 * @example
 * ```ts
 * if (!budget.record(clock.monotonic())) process.exit(70);
 * ```
 */
export class FaultBudget {
  #faults: number[] = [];

  /** Number of errors in the current window. */
  get count(): number {
    return this.#faults.length;
  }

  /**
   * Records an unexpected error.
   * @param now - Monotonic time in milliseconds.
   * @returns Whether the process goes on.
   */
  record(now: number): boolean {
    this.#faults = this.#faults.filter((at) => now - at < WINDOW_MILLISECONDS);
    this.#faults.push(now);
    return this.#faults.length < MAXIMUM_FAULTS;
  }
}
