import type { Clock } from "../utilities/clock.ts";

/** Limits of a wait for a change. */
export interface ChangeWaitOptions {
  /** Longest time to wait. */
  readonly timeoutMilliseconds: number;
  /** Ends the wait when it is aborted. */
  readonly signal: AbortSignal;
}

/**
 * Resumes the tasks that wait for a change of an object, when the object's owner calls `notify`.
 * @example
 * ```ts
 * const change = new ChangeSignal(clock);
 * const waited = change.wait({ timeoutMilliseconds: 1000, signal });
 * change.notify();
 * await waited;
 * ```
 */
export class ChangeSignal {
  readonly #clock: Clock;
  #nextChange = new AbortController();

  /** @param clock - Measures the timeouts of waits. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Resumes all tasks that are waiting. */
  notify(): void {
    const change = this.#nextChange;
    this.#nextChange = new AbortController();
    change.abort();
  }

  /** Waits until the next call of `notify`, an abort or the timeout. */
  async wait(options: ChangeWaitOptions): Promise<void> {
    if (options.signal.aborted) return;
    const wakeUp = new AbortController();
    const nextChange = this.#nextChange.signal;
    const endWait = (): void => wakeUp.abort();
    nextChange.addEventListener("abort", endWait, { once: true });
    options.signal.addEventListener("abort", endWait, { once: true });
    await this.#clock.sleep(options.timeoutMilliseconds, wakeUp.signal);
    nextChange.removeEventListener("abort", endWait);
    options.signal.removeEventListener("abort", endWait);
  }
}
