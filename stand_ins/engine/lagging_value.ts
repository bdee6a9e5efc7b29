import type { Clock } from "../../source/utilities/clock.ts";

const MAXIMUM_SAMPLE_MILLISECONDS = 100;

/** Options of a lagging value. */
export interface LaggingValueOptions<Value> {
  readonly clock: Clock;
  readonly lagMilliseconds: number;
  readonly read: () => Value;
}

/** Reports a value as it was a fixed time ago. */
export class LaggingValue<Value> {
  readonly #options: LaggingValueOptions<Value>;
  #samples: { readonly sampledAt: number; readonly value: Value }[] = [];

  /** @param options - Clock, function that reads the value, and lag in milliseconds. */
  constructor(options: LaggingValueOptions<Value>) {
    this.#options = options;
    this.#sample();
  }

  /** Samples the value periodically until aborted. */
  async run(stopping: AbortSignal): Promise<void> {
    const { clock, lagMilliseconds } = this.#options;
    if (lagMilliseconds === 0) return;
    const intervalMilliseconds = Math.min(
      lagMilliseconds,
      MAXIMUM_SAMPLE_MILLISECONDS,
    );
    while (!stopping.aborted) {
      await clock.sleep(intervalMilliseconds, stopping);
      this.#sample();
    }
  }

  /** Returns the newest sample that is at least as old as the lag, or else the oldest sample. */
  get(): Value {
    const { lagMilliseconds, clock, read } = this.#options;
    if (lagMilliseconds === 0) return read();
    const latestVisibleTime = clock.monotonic() - lagMilliseconds;
    const index = this.#samples.findLastIndex(({ sampledAt }) =>
      sampledAt <= latestVisibleTime
    );
    if (index > 0) this.#samples.splice(0, index);
    return this.#samples[0]?.value ?? read();
  }

  #sample(): void {
    const { clock, read, lagMilliseconds } = this.#options;
    const now = clock.monotonic();
    this.#samples.push({ sampledAt: now, value: read() });
    const earliestRetainedTime = now - 2 * lagMilliseconds -
      MAXIMUM_SAMPLE_MILLISECONDS;
    const first = this.#samples.findIndex(({ sampledAt }) =>
      sampledAt >= earliestRetainedTime
    );
    if (first > 1) this.#samples.splice(0, first - 1);
  }
}
