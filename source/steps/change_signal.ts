import type { Clock } from "../utilities/clock.ts";

/** How long to wait for a change. */
export interface ChangeWaitOptions {
  readonly milliseconds: number;
  readonly signal: AbortSignal;
}

/**
 * Wakes tasks that wait for a change.
 * @example
 * ```ts
 * const change = new ChangeSignal(clock);
 * const waited = change.wait({ milliseconds: 1000, signal });
 * change.notify();
 * await waited;
 * ```
 */
export class ChangeSignal {
  readonly #clock: Clock;
  #next = new AbortController();

  /** @param clock - Measures how long tasks wait. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Wakes all tasks that wait now. */
  notify(): void {
    const woken = this.#next;
    this.#next = new AbortController();
    woken.abort();
  }

  /** Waits until the next change, an abort, or the time is over. */
  async wait(options: ChangeWaitOptions): Promise<void> {
    if (options.signal.aborted) return;
    const ended = new AbortController();
    const change = this.#next.signal;
    const end = (): void => ended.abort();
    change.addEventListener("abort", end, { once: true });
    options.signal.addEventListener("abort", end, { once: true });
    await this.#clock.sleep(options.milliseconds, ended.signal);
    change.removeEventListener("abort", end);
    options.signal.removeEventListener("abort", end);
  }
}
