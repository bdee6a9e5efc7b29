import type { Clock } from "../utilities/clock.ts";
import { ENDED } from "../utilities/ended.ts";

const CHECKS_PER_TIMEOUT = 5;
/** Lateness of a wake-up beyond which the process counts as stalled. */
const MINIMUM_STALL_MILLISECONDS = 20;

/** Dependencies of an inactivity timer. */
export interface InactivityTimerOptions {
  readonly clock: Clock;
  /** Time without activity after which the timer fires. */
  readonly silenceMilliseconds: number;
  /** Called once when the timer fires. */
  readonly onTimeout: () => void;
}

/**
 * Fires when no activity was recorded on a connection for the configured time.
 *
 * Time during which this process itself was stalled does not count, since the process has not yet
 * read the bytes that arrived meanwhile.
 * @example
 * ```ts
 * const timer = new InactivityTimer({ clock, silenceMilliseconds: 5000, onTimeout });
 * timer.recordActivity();
 * timer.stop();
 * ```
 */
export class InactivityTimer {
  readonly #options: InactivityTimerOptions;
  readonly #stopped = new AbortController();
  #lastActivityAt: number;
  #paused = false;

  /** @param options - Clock, timeout and callback. */
  constructor(options: InactivityTimerOptions) {
    this.#options = options;
    this.#lastActivityAt = options.clock.monotonic();
    void this.#run();
  }

  /** Records activity, such as a received byte. */
  recordActivity(): void {
    this.#lastActivityAt = this.#options.clock.monotonic();
  }

  /** Pauses the timer, such as while the body is not being read. */
  pause(): void {
    this.#paused = true;
  }

  /** Restarts the timer from zero. */
  resume(): void {
    this.#paused = false;
    this.recordActivity();
  }

  /** Stops the timer for good. */
  stop(): void {
    this.#stopped.abort(ENDED);
  }

  async #run(): Promise<void> {
    const { clock, silenceMilliseconds, onTimeout } = this.#options;
    const stopped = this.#stopped.signal;
    const checkIntervalMilliseconds = silenceMilliseconds / CHECKS_PER_TIMEOUT;
    while (!stopped.aborted) {
      if (this.#paused) this.recordActivity();
      const idleMilliseconds = clock.monotonic() - this.#lastActivityAt;
      if (idleMilliseconds >= silenceMilliseconds) {
        onTimeout();
        return;
      }
      await this.#sleep(
        Math.min(
          checkIntervalMilliseconds,
          silenceMilliseconds - idleMilliseconds,
        ),
      );
    }
  }

  async #sleep(milliseconds: number): Promise<void> {
    const { clock } = this.#options;
    const dueAt = clock.monotonic() + milliseconds;
    await clock.sleep(milliseconds, this.#stopped.signal);
    const stallMilliseconds = clock.monotonic() - dueAt;
    if (stallMilliseconds > MINIMUM_STALL_MILLISECONDS) {
      this.#lastActivityAt += stallMilliseconds;
    }
  }
}
