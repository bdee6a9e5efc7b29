import type { Clock } from "./clock.ts";

interface Sleeper {
  /** Monotonic time, in milliseconds. */
  readonly due: number;
  readonly wake: () => void;
}

/**
 * Clock that tests advance explicitly.
 * @example
 * ```ts
 * const clock = new ManualClock();
 * const slept = clock.sleep(50);
 * await clock.advance(50);
 * await slept;
 * ```
 */
export class ManualClock implements Clock {
  #monotonic = 0;
  #wall: number;
  #sleepers: Sleeper[] = [];

  /** @param wall - Initial wall time, in milliseconds since the Unix epoch. */
  constructor(wall = 1_800_000_000_000) {
    this.#wall = wall;
  }

  /** Returns the milliseconds advanced so far. */
  monotonic(): number {
    return this.#monotonic;
  }

  /** Returns the wall time in milliseconds since the Unix epoch. */
  wall(): number {
    return this.#wall;
  }

  /**
   * Waits until the clock has been advanced by a duration.
   * @param milliseconds - Duration of the wait, in milliseconds.
   * @param signal - Ends the wait early when aborted.
   */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted || milliseconds <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        signal?.removeEventListener("abort", finish);
        this.#sleepers = this.#sleepers.filter((each) => each !== sleeper);
        resolve();
      };
      const sleeper = { due: this.#monotonic + milliseconds, wake: finish };
      this.#sleepers.push(sleeper);
      signal?.addEventListener("abort", finish, { once: true });
    });
  }

  /**
   * Advances monotonic and wall time, and wakes the sleepers that are due, earliest first.
   * @param milliseconds - Duration of the advance, in milliseconds.
   */
  async advance(milliseconds: number): Promise<void> {
    const target = this.#monotonic + milliseconds;
    for (;;) {
      await flushTasks();
      const next = this.#takeNextDue(target);
      if (next === undefined) break;
      this.#moveTo(Math.max(next.due, this.#monotonic));
      next.wake();
    }
    this.#moveTo(target);
    await flushTasks();
  }

  /**
   * Steps only the wall clock, as an operator or a time service would.
   * @param milliseconds - Size of the step in milliseconds; a negative step sets the clock back.
   */
  stepWall(milliseconds: number): void {
    this.#wall += milliseconds;
  }

  #takeNextDue(target: number): Sleeper | undefined {
    this.#sleepers.sort((left, right) => left.due - right.due);
    const next = this.#sleepers[0];
    if (next === undefined || next.due > target) return undefined;
    this.#sleepers.shift();
    return next;
  }

  #moveTo(target: number): void {
    this.#wall += target - this.#monotonic;
    this.#monotonic = target;
  }
}

function flushTasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
