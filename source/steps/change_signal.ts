import type { Clock } from "../utilities/clock.ts";

/** Limits of a wait for a change. */
export interface ChangeWaitOptions {
  readonly milliseconds: number;
  readonly signal: AbortSignal;
}

/**
 * Notifies tasks that wait for a change.
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

  /** @param clock - Limits how long tasks wait. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Resumes all tasks that are waiting. */
  notify(): void {
    const current = this.#next;
    this.#next = new AbortController();
    current.abort();
  }

  /** Waits until the next change, an abort or the timeout. */
  async wait(options: ChangeWaitOptions): Promise<void> {
    if (options.signal.aborted) return;
    const wakeUp = new AbortController();
    const change = this.#next.signal;
    const end = (): void => wakeUp.abort();
    change.addEventListener("abort", end, { once: true });
    options.signal.addEventListener("abort", end, { once: true });
    await this.#clock.sleep(options.milliseconds, wakeUp.signal);
    change.removeEventListener("abort", end);
    options.signal.removeEventListener("abort", end);
  }
}
