import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { SampleRun } from "./sample_run.ts";
import type { PlannedSample } from "./step_plan.ts";
import type { RunningSample } from "./tail_policy.ts";

const BASE_BACKOFF_MILLISECONDS = 50;
const MAXIMUM_BACKOFF_MILLISECONDS = 5000;
const MAXIMUM_BACKOFF_EXPONENT = 10;

/** Dependencies of a sample's progress. */
export interface SampleProgressOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Server and retry delay of a failed run. */
export interface RunFailure {
  /** Address of the server that the next run avoids; empty for none. */
  readonly server: string;
  /** Minimum delay before the next run, in milliseconds. */
  readonly minimumDelayMilliseconds: number;
}

/**
 * Tracks the runs of one sample and the backoff before the next run.
 * @example
 * ```ts
 * const progress = new SampleProgress(planned, { clock, random });
 * if (progress.isBackoffOver) start(progress);
 * ```
 */
export class SampleProgress {
  /** The sample. */
  readonly planned: PlannedSample;
  readonly #options: SampleProgressOptions;
  readonly #runs = new Set<SampleRun>();
  #secondRunCount = 0;
  #completedRun: SampleRun | undefined;
  #failureCount = 0;
  #nextStartAt = 0;
  #avoidServers: ReadonlyArray<string> = [];

  /**
   * @param planned - The sample.
   * @param options - Clock and random source of the backoff.
   */
  constructor(planned: PlannedSample, options: SampleProgressOptions) {
    this.planned = planned;
    this.#options = options;
  }

  /** Returns the active runs. */
  get runs(): ReadonlyArray<SampleRun> {
    return [...this.#runs];
  }

  /** Returns the number of active runs. */
  get activeCount(): number {
    return this.#runs.size;
  }

  /** Returns whether the backoff after the last failure is over. */
  get isBackoffOver(): boolean {
    return this.#options.clock.monotonic() >= this.#nextStartAt;
  }

  /** Returns the servers that the next run avoids because the last run failed there. */
  get avoidServers(): ReadonlyArray<string> {
    return this.#avoidServers;
  }

  /** Adds a run that starts; it counts as a second run when another run is active. */
  addRun(run: SampleRun): void {
    if (this.#runs.size > 0) this.#secondRunCount += 1;
    this.#runs.add(run);
  }

  /** Removes a run that ended. */
  removeRun(run: SampleRun): void {
    this.#runs.delete(run);
  }

  /** Cancels the active runs. */
  cancelRuns(): void {
    for (const run of this.#runs) run.cancel();
  }

  /** Cancels the runs that resumed from the tokens of a failed run. */
  cancelRunsFrom(source: SampleRun): void {
    for (const run of this.#runs) {
      if (run.source === source) run.cancel();
    }
  }

  /** Records a failure; returns the backoff before the next run, in milliseconds. */
  recordFailure(failure: RunFailure): number {
    const { clock, random } = this.#options;
    this.#failureCount += 1;
    this.#avoidServers = failure.server === "" ? [] : [failure.server];
    const exponent = Math.min(this.#failureCount, MAXIMUM_BACKOFF_EXPONENT);
    const ceiling = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      BASE_BACKOFF_MILLISECONDS * 2 ** exponent,
    );
    const minimumDelayMilliseconds = Math.min(
      failure.minimumDelayMilliseconds,
      MAXIMUM_BACKOFF_MILLISECONDS,
    );
    const backoffMilliseconds = minimumDelayMilliseconds +
      random.next() * ceiling;
    this.#nextStartAt = clock.monotonic() + backoffMilliseconds;
    return backoffMilliseconds;
  }

  /** Records the run that completed the sample. */
  recordFinished(run: SampleRun): void {
    this.#completedRun = run;
    this.#failureCount = 0;
  }

  /**
   * Returns the number of tokens that a cancelled run generated and that the completed run did not
   * reuse; 0 while no run has completed.
   */
  countDuplicateTokens(cancelled: SampleRun): number {
    if (this.#completedRun === undefined) return 0;
    const reused = this.#completedRun.source === cancelled
      ? this.#completedRun.resumedTokenCount - cancelled.resumedTokenCount
      : 0;
    return Math.max(0, cancelled.ownTokens - reused);
  }

  /** Returns the sample as the tail policy sees it; undefined while no server has an active run. */
  toRunningSample(): RunningSample | undefined {
    const sent = this.runs.filter((run) => run.server !== "");
    const [first, ...others] = sent;
    if (first === undefined) return undefined;
    const furthest = others.reduce(
      (best, run) => run.tokens > best.tokens ? run : best,
      first,
    );
    return {
      index: this.planned.index,
      group: this.planned.group,
      server: furthest.server,
      ageMilliseconds: first.ageMilliseconds,
      sinceLastTokenMilliseconds: furthest.sinceLastTokenMilliseconds,
      generatingMilliseconds: furthest.generatingMilliseconds,
      tokens: furthest.tokens,
      maximumTokens: this.planned.maximumTokens,
      runs: this.#runs.size,
      secondRuns: this.#secondRunCount,
    };
  }
}
