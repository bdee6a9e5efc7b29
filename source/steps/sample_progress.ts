import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { SampleRun } from "./sample_run.ts";
import type { PlannedSample } from "./step_plan.ts";
import type { RunningSample } from "./tail_policy.ts";

const FIRST_BACKOFF_MILLISECONDS = 50;
const MAXIMUM_BACKOFF_MILLISECONDS = 5000;
const MAXIMUM_DOUBLINGS = 10;

/** Where waits come from. */
export interface SampleProgressOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** How a run failed. */
export interface RunFailure {
  /** Server to avoid next; empty for none. */
  readonly server: string;
  /** Shortest time until the next run, in milliseconds. */
  readonly advisedMilliseconds: number;
}

/**
 * The runs of one sample, and when the next one may begin.
 * @example
 * ```ts
 * const progress = new SampleProgress(planned, { clock, random });
 * if (progress.mayStart) start(progress);
 * ```
 */
export class SampleProgress {
  /** The sample. */
  readonly planned: PlannedSample;
  readonly #options: SampleProgressOptions;
  readonly #runs = new Set<SampleRun>();
  #secondRuns = 0;
  #winner: SampleRun | undefined;
  #failures = 0;
  #notBefore = 0;
  #avoidServers: ReadonlyArray<string> = [];

  /**
   * @param planned - The sample.
   * @param options - Where waits come from.
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
  get active(): number {
    return this.#runs.size;
  }

  /** Returns whether the wait after the last failure is over. */
  get mayStart(): boolean {
    return this.#options.clock.monotonic() >= this.#notBefore;
  }

  /** Returns the servers that failed the sample last. */
  get avoidServers(): ReadonlyArray<string> {
    return this.#avoidServers;
  }

  /** Notes that a run begins. */
  begin(run: SampleRun): void {
    if (this.#runs.size > 0) this.#secondRuns += 1;
    this.#runs.add(run);
  }

  /** Notes that a run ended. */
  end(run: SampleRun): void {
    this.#runs.delete(run);
  }

  /** Cancels the active runs. */
  cancelRuns(): void {
    for (const run of this.#runs) run.cancel();
  }

  /** Cancels runs that went on from the tokens of a run that failed. */
  cancelRunsFrom(source: SampleRun): void {
    for (const run of this.#runs) {
      if (run.source === source) run.cancel();
    }
  }

  /** Notes a failure; returns the wait until the next run, in milliseconds. */
  noteFailure(failure: RunFailure): number {
    const { clock, random } = this.#options;
    this.#failures += 1;
    this.#avoidServers = failure.server === "" ? [] : [failure.server];
    const doublings = Math.min(this.#failures, MAXIMUM_DOUBLINGS);
    const ceiling = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      FIRST_BACKOFF_MILLISECONDS * 2 ** doublings,
    );
    const advised = Math.min(
      failure.advisedMilliseconds,
      MAXIMUM_BACKOFF_MILLISECONDS,
    );
    const wait = advised + random.next() * ceiling;
    this.#notBefore = clock.monotonic() + wait;
    return wait;
  }

  /** Notes that a run gave a whole sample. */
  noteFinished(run: SampleRun): void {
    this.#winner = run;
    this.#failures = 0;
  }

  /** Returns the tokens of a run that ended as the loser which the winner did not go on from. */
  countDoubledTokens(loser: SampleRun): number {
    if (this.#winner === undefined) return 0;
    const used = this.#winner.source === loser
      ? this.#winner.resumedCount - loser.resumedCount
      : 0;
    return Math.max(0, loser.ownTokens - used);
  }

  /** Describes the sample to a tail policy; undefined while no server runs it. */
  describe(): RunningSample | undefined {
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
      silentMilliseconds: furthest.silentMilliseconds,
      generatingMilliseconds: furthest.generatingMilliseconds,
      tokens: furthest.tokens,
      maximumTokens: this.planned.maximumTokens,
      runs: this.#runs.size,
      secondRuns: this.#secondRuns,
    };
  }
}
