import type { Clock } from "../utilities/clock.ts";
import { ENDED } from "../utilities/ended.ts";

const CHECKS_PER_SILENCE = 5;
const MINIMUM_STALL_MILLISECONDS = 20;

/** What a silence watch needs. */
export interface SilenceWatchOptions {
  readonly clock: Clock;
  readonly silenceMilliseconds: number;
  /** Called once when nothing was heard for too long. */
  readonly onSilent: () => void;
}

/**
 * Notices that a connection has gone silent.
 *
 * Time in which this process itself stood still does not count: what came meanwhile has
 * not been read yet.
 * @example
 * ```ts
 * const watch = new SilenceWatch({ clock, silenceMilliseconds: 5000, onSilent });
 * watch.touch();
 * watch.stop();
 * ```
 */
export class SilenceWatch {
  readonly #options: SilenceWatchOptions;
  readonly #stopped = new AbortController();
  #heardAt: number;
  #paused = false;

  /** @param options - The bound and what to do past it. */
  constructor(options: SilenceWatchOptions) {
    this.#options = options;
    this.#heardAt = options.clock.monotonic();
    void this.#run();
  }

  /** Notes that a byte went through. */
  touch(): void {
    this.#heardAt = this.#options.clock.monotonic();
  }

  /** Counts no silence until resumed, such as while the other side is not read. */
  pause(): void {
    this.#paused = true;
  }

  /** Counts silence from now on. */
  resume(): void {
    this.#paused = false;
    this.touch();
  }

  /** Ends the watch. */
  stop(): void {
    this.#stopped.abort(ENDED);
  }

  async #run(): Promise<void> {
    const { clock, silenceMilliseconds, onSilent } = this.#options;
    const stopped = this.#stopped.signal;
    const pause = silenceMilliseconds / CHECKS_PER_SILENCE;
    while (!stopped.aborted) {
      if (this.#paused) this.touch();
      const idle = clock.monotonic() - this.#heardAt;
      if (idle >= silenceMilliseconds) {
        onSilent();
        return;
      }
      await this.#sleep(Math.min(pause, silenceMilliseconds - idle));
    }
  }

  async #sleep(milliseconds: number): Promise<void> {
    const { clock } = this.#options;
    const due = clock.monotonic() + milliseconds;
    await clock.sleep(milliseconds, this.#stopped.signal);
    const stalled = clock.monotonic() - due;
    if (stalled > MINIMUM_STALL_MILLISECONDS) this.#heardAt += stalled;
  }
}
