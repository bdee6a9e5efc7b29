import type { Clock } from "../utilities/clock.ts";
import type { RefusalReason, Work } from "./dispatcher.ts";

/** Aborts a run at its deadline or when its work is cancelled. */
export class RunBounds {
  readonly #abortController = new AbortController();
  readonly #closed = new AbortController();
  readonly #work: Work;
  readonly #clock: Clock;
  #reason: RefusalReason | undefined;
  readonly #cancel = (): void => this.#stop("cancelled");

  /**
   * @param work - Work with its deadline and signal.
   * @param clock - Clock that measures the deadline.
   */
  constructor(work: Work, clock: Clock) {
    this.#work = work;
    this.#clock = clock;
    if (work.signal.aborted) this.#cancel();
    work.signal.addEventListener("abort", this.#cancel, { once: true });
    void this.#waitForDeadline();
  }

  /** Signal that is aborted when the run must end. */
  get signal(): AbortSignal {
    return this.#abortController.signal;
  }

  /**
   * Returns the reason why the run must end; undefined while it may continue. Aborts the run if the
   * deadline has passed.
   */
  get reason(): RefusalReason | undefined {
    if (this.#reason === undefined && this.remaining() <= 0) {
      this.#stop("deadline");
    }
    return this.#reason;
  }

  /** Returns the remaining time until the deadline, in milliseconds. */
  remaining(): number {
    return this.#work.deadline - this.#clock.monotonic();
  }

  /** Stops watching the deadline and the work's signal; called when the run has ended. */
  close(): void {
    this.#closed.abort();
    this.#work.signal.removeEventListener("abort", this.#cancel);
  }

  async #waitForDeadline(): Promise<void> {
    const closed = this.#closed.signal;
    while (!closed.aborted && this.remaining() > 0) {
      await this.#clock.sleep(this.remaining(), closed);
    }
    if (!closed.aborted) this.#stop("deadline");
  }

  #stop(reason: RefusalReason): void {
    this.#reason ??= reason;
    this.#abortController.abort(new Error(reason));
  }
}
