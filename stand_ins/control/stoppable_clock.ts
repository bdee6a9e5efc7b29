import type { Clock } from "../../source/utilities/clock.ts";

/** Options for stopping a node. */
export interface StopOptions {
  readonly milliseconds: number;
  /** Whether the monotonic clock halts too, as it does when the host is suspended. */
  readonly haltsMonotonic: boolean;
}

const MAXIMUM_HIDDEN_MILLISECONDS = 250;

/** A clock of one node that can be stopped and whose wall clock can be stepped. */
export class StoppableClock implements Clock {
  readonly #sharedClock: Clock;
  #wallOffsetMilliseconds = 0;
  #haltedMilliseconds = 0;
  #lastStop: Promise<void> = Promise.resolve();
  #activeStops = 0;
  #hasHiddenStop = false;

  /** @param sharedClock - Clock shared by all nodes. */
  constructor(sharedClock: Clock) {
    this.#sharedClock = sharedClock;
  }

  /** Whether the node is stopped. */
  get isStopped(): boolean {
    return this.#activeStops > 0;
  }

  /**
   * Whether the wall clock was stepped during a stop by an amount that offset, to within 250 ms,
   * the time by which the monotonic clock halted.
   */
  get hasHiddenStop(): boolean {
    return this.#hasHiddenStop;
  }

  /** Returns the node's monotonic time in milliseconds. */
  monotonic(): number {
    return this.#sharedClock.monotonic() - this.#haltedMilliseconds;
  }

  /** Returns the node's wall-clock time in Unix milliseconds. */
  wall(): number {
    return this.#sharedClock.wall() + this.#wallOffsetMilliseconds;
  }

  /** Waits for a time, and then until the node is not stopped. */
  async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    await this.#sharedClock.sleep(milliseconds, signal);
    await this.waitWhileStopped();
  }

  /** Waits until the node is not stopped. */
  async waitWhileStopped(): Promise<void> {
    while (this.#activeStops > 0) await this.#lastStop;
  }

  /** Steps the wall clock by some milliseconds, backwards if negative. */
  stepWall(milliseconds: number): void {
    this.#wallOffsetMilliseconds += milliseconds;
  }

  /** Stops the node for a time; overlapping stops run one after the other. */
  async stop(options: StopOptions): Promise<void> {
    this.#activeStops += 1;
    const offsetBefore = this.#wallOffsetMilliseconds;
    this.#lastStop = this.#lastStop.then(() =>
      this.#sharedClock.sleep(options.milliseconds)
    );
    await this.#lastStop;
    if (options.haltsMonotonic) {
      this.#haltedMilliseconds += options.milliseconds;
    }
    const stepped = this.#wallOffsetMilliseconds - offsetBefore;
    const halted = options.haltsMonotonic ? options.milliseconds : 0;
    if (
      stepped !== 0 && Math.abs(stepped + halted) <= MAXIMUM_HIDDEN_MILLISECONDS
    ) {
      this.#hasHiddenStop = true;
    }
    this.#activeStops -= 1;
  }
}
