import type { Clock } from "../../source/utilities/clock.ts";

/** How a node is stopped. */
export interface StopOptions {
  readonly milliseconds: number;
  /** Whether the monotonic clock halts too, as when a whole machine is suspended. */
  readonly haltsMonotonic: boolean;
}

const HIDDEN_MILLISECONDS = 250;

/** Clock of one node that can be stopped and whose wall clock can be stepped. */
export class StoppableClock implements Clock {
  readonly #true: Clock;
  #wallStep = 0;
  #halted = 0;
  #running: Promise<void> = Promise.resolve();
  #stops = 0;
  #hasHiddenStop = false;

  /** @param trueClock - The clock that all nodes share. */
  constructor(trueClock: Clock) {
    this.#true = trueClock;
  }

  /** Whether the node is stopped now. */
  get isStopped(): boolean {
    return this.#stops > 0;
  }

  /** Whether a step during a suspension hid it, so that neither clock shows it. */
  get hasHiddenStop(): boolean {
    return this.#hasHiddenStop;
  }

  /** Returns the node's monotonic time. */
  monotonic(): number {
    return this.#true.monotonic() - this.#halted;
  }

  /** Returns the node's wall time. */
  wall(): number {
    return this.#true.wall() + this.#wallStep;
  }

  /** Waits; a stopped node goes on only after its stop. */
  async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    await this.#true.sleep(milliseconds, signal);
    await this.whileStopped();
  }

  /** Waits until the node is not stopped. */
  async whileStopped(): Promise<void> {
    while (this.#stops > 0) await this.#running;
  }

  /** Steps the wall clock. */
  stepWall(milliseconds: number): void {
    this.#wallStep += milliseconds;
  }

  /** Stops the node for some time. */
  async stop(options: StopOptions): Promise<void> {
    this.#stops += 1;
    const wallStep = this.#wallStep;
    this.#running = this.#running.then(() =>
      this.#true.sleep(options.milliseconds)
    );
    await this.#running;
    if (options.haltsMonotonic) this.#halted += options.milliseconds;
    const stepped = this.#wallStep - wallStep;
    const halted = options.haltsMonotonic ? options.milliseconds : 0;
    if (stepped !== 0 && Math.abs(stepped + halted) <= HIDDEN_MILLISECONDS) {
      this.#hasHiddenStop = true;
    }
    this.#stops -= 1;
  }
}
