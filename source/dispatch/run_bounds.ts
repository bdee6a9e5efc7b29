import type { Clock } from "../utilities/clock.ts";
import type { RefusalReason, Work } from "./dispatcher.ts";

/** Ends a run at its deadline or when its work is cancelled. */
export class RunBounds {
  readonly #end = new AbortController();
  readonly #closed = new AbortController();
  readonly #work: Work;
  readonly #clock: Clock;
  #reason: RefusalReason | undefined;
  readonly #cancel = (): void => this.#finish("cancelled");

  /**
   * @param work - The work with its deadline and signal.
   * @param clock - Source of time.
   */
  constructor(work: Work, clock: Clock) {
    this.#work = work;
    this.#clock = clock;
    if (work.signal.aborted) this.#cancel();
    work.signal.addEventListener("abort", this.#cancel, { once: true });
    void this.#waitForDeadline();
  }

  /** Aborted when the run must end. */
  get signal(): AbortSignal {
    return this.#end.signal;
  }

  /** Why the run must end; undefined while it may go on. */
  get reason(): RefusalReason | undefined {
    if (this.#reason === undefined && this.remaining() <= 0) {
      this.#finish("deadline");
    }
    return this.#reason;
  }

  /** Time left until the deadline, in milliseconds. */
  remaining(): number {
    return this.#work.deadline - this.#clock.monotonic();
  }

  /** Releases the timer and the listener. */
  close(): void {
    this.#closed.abort();
    this.#work.signal.removeEventListener("abort", this.#cancel);
  }

  async #waitForDeadline(): Promise<void> {
    const closed = this.#closed.signal;
    while (!closed.aborted && this.remaining() > 0) {
      await this.#clock.sleep(this.remaining(), closed);
    }
    if (!closed.aborted) this.#finish("deadline");
  }

  #finish(reason: RefusalReason): void {
    this.#reason ??= reason;
    this.#end.abort(new Error(reason));
  }
}
