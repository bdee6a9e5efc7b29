import type { Clock } from "../utilities/clock.ts";

/** What a sample does while its text is generated. */
export type SampleActivity =
  | "waitingForRoute"
  | "waitingForEngine"
  | "waitingForWeights"
  | "asking"
  | "reading";

/** Where the time of a sample's generation on this node went, in milliseconds. */
export interface SampleTimes {
  /** Waits for a route or an engine before the first event of this run. */
  readonly waited: number;
  /** Waits before that event in which each engine that could run the sample loaded weights. */
  readonly waitedForWeights: number;
  /** From the requests to engines until their responses began, before the first event. */
  readonly asked: number;
  /** From the beginning of responses until their last event or interruption. */
  readonly generated: number;
  /** From an interruption until the next response began. */
  readonly resumed: number;
}

const TIME_NAMES: Readonly<Record<SampleActivity, keyof SampleTimes>> = {
  waitingForRoute: "waited",
  waitingForEngine: "waited",
  waitingForWeights: "waitedForWeights",
  asking: "asked",
  reading: "generated",
};

/** Number of a sample's attempts, each a request for the text to one engine. */
export interface AttemptCounts {
  readonly attempts: number;
  /** Attempts that an engine refused without running them. */
  readonly refusals: number;
  /** Attempts aborted because the engine used a weight version that is not allowed. */
  readonly unusableVersions: number;
  /** Attempts aborted to continue on a faster engine. */
  readonly moves: number;
}

/**
 * Records what a sample does and for how long.
 * @example
 * ```ts
 * const timeline = new SampleTimeline(clock);
 * timeline.enter("waitingForEngine");
 * timeline.startAttempt();
 * timeline.enter("reading");
 * timeline.recordEvent();
 * const { waited, generated } = timeline.times;
 * ```
 */
export class SampleTimeline {
  readonly #clock: Clock;
  #activity: SampleActivity = "waitingForRoute";
  #since: number;
  #startedAt: number | undefined;
  #hasEvent = false;
  readonly #spent = {
    waited: 0,
    waitedForWeights: 0,
    asked: 0,
    generated: 0,
    resumed: 0,
  };
  readonly #counts = {
    attempts: 0,
    refusals: 0,
    unusableVersions: 0,
    moves: 0,
  };

  /** @param clock - Measures the time of each activity. */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#since = clock.monotonic();
  }

  /** The current activity, or the last one after the run has ended. */
  get activity(): SampleActivity {
    return this.#activity;
  }

  /** Monotonic time, in milliseconds, at which the activity started. */
  get since(): number {
    return this.#since;
  }

  /** Monotonic time, in milliseconds, of the first attempt; undefined before it. */
  get startedAt(): number | undefined {
    return this.#startedAt;
  }

  /** Number of attempts so far, by result. */
  get counts(): AttemptCounts {
    return { ...this.#counts };
  }

  /** The time spent so far, with the current activity. */
  get times(): SampleTimes {
    const spent = { ...this.#spent };
    spent[this.#getTimeName()] += this.#clock.monotonic() - this.#since;
    return spent;
  }

  /** Starts an activity; has no effect if it is the current one. */
  enter(activity: SampleActivity): void {
    if (activity === this.#activity) return;
    const now = this.#clock.monotonic();
    this.#spent[this.#getTimeName()] += now - this.#since;
    this.#activity = activity;
    this.#since = now;
  }

  /** Records that an engine is asked for the text. */
  startAttempt(): void {
    this.#counts.attempts += 1;
    this.#startedAt ??= this.#clock.monotonic();
    this.enter("asking");
  }

  /** Records that an event of the text arrived. */
  recordEvent(): void {
    this.#hasEvent = true;
  }

  /** Counts an attempt that ended without completing the text. */
  count(result: Exclude<keyof AttemptCounts, "attempts">): void {
    this.#counts[result] += 1;
  }

  #getTimeName(): keyof SampleTimes {
    const name = TIME_NAMES[this.#activity];
    return this.#hasEvent && name !== "generated" ? "resumed" : name;
  }
}
