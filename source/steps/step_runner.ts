import type { Sample } from "../../generated/snipepath/v1/records_pb.ts";
import type { Admission } from "../admission/admission.ts";
import type { UsageRecorder } from "../control/usage_recorder.ts";
import type {
  CompletionOutcome,
  Dispatcher,
  DispatchRefusal,
  FinishedCompletion,
} from "../dispatch/dispatcher.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { Cause, LedgerEntry } from "../observability/cause_ledger.ts";
import { findInvalidReason, toSample } from "./finished_sample.ts";
import type { StepReplica } from "./step_replica.ts";
import { getMedian } from "../decisions/quantile.ts";
import { SampleProgress } from "./sample_progress.ts";
import { SampleRun } from "./sample_run.ts";
import { exceedsStalenessBound } from "./sample_staleness.ts";
import type { PlannedSample } from "./step_plan.ts";
import {
  type FinishedRun,
  getTypicalMillisecondsPerToken,
  type SecondRun,
  type TailPolicy,
} from "./tail_policy.ts";

const RUN_INTERVAL_MILLISECONDS = 50;
const IDLE_INTERVAL_MILLISECONDS = 1000;
/** Number of active runs of a step from which no further missing sample is started. */
const MAXIMUM_CONCURRENT_SAMPLES = 256;
/** Minimum time from the start of a run to its deadline, also after the step's deadline. */
const MINIMUM_RUN_MILLISECONDS = 10_000;
/** Number of the most recently finished runs that the tail policy receives. */
const MAXIMUM_FINISHED_RUNS = 256;
/** Multiple of the median duration beyond which the time of a run counts as straggling. */
const STRAGGLER_FACTOR = 1.5;

/** Dependencies of the step runner. */
export interface StepRunnerOptions {
  readonly context: NodeContext;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
  readonly usage?: UsageRecorder;
  readonly tailPolicy: TailPolicy;
  /** Returns the current limit of tokens that second runs may generate twice over the whole step. */
  readonly budgetTokens: () => number;
  readonly classOfWork: string;
  readonly ledger: LedgerEntry;
  /** Returns the trainer's newest weight version. */
  readonly newestVersion: () => number;
  /** Called with each finished sample that was merged into the step. */
  readonly onFinished: (sample: Sample) => void;
}

/** Totals over the runs of a step. */
export interface StepTotals {
  /** Number of tokens that the ended runs generated, including runs whose result was discarded. */
  readonly generatedTokens: number;
  readonly secondRuns: number;
}

/**
 * Runs the samples of a step that this node owns until aborted: the missing samples, and again the
 * samples that were dropped because they exceed the staleness bound. Groups are started in order,
 * so that they finish in order.
 * @example
 * ```ts
 * await new StepRunner(step, options).run(signal);
 * ```
 */
export class StepRunner {
  readonly #step: StepReplica;
  readonly #options: StepRunnerOptions;
  readonly #progress: ReadonlyArray<SampleProgress>;
  readonly #startedAt: number;
  #finished: ReadonlyArray<FinishedRun> = [];
  /** Expected duplicate tokens of each active second run, which reduce the remaining budget. */
  readonly #reservedTokens = new Map<SampleRun, number>();
  #duplicateTokens = 0;
  #secondRunCount = 0;
  #attemptCount = 0;
  #generatedTokens = 0;

  /**
   * @param step - The step to run.
   * @param options - Node context, admission, dispatcher, tail policy and callbacks.
   */
  constructor(step: StepReplica, options: StepRunnerOptions) {
    this.#step = step;
    this.#options = options;
    this.#startedAt = options.context.clock.monotonic();
    this.#progress = step.plan.map((planned) =>
      new SampleProgress(planned, options.context)
    );
  }

  /** Returns the totals of the step so far. */
  get totals(): StepTotals {
    return {
      generatedTokens: this.#generatedTokens,
      secondRuns: this.#secondRunCount,
    };
  }

  /** Runs samples until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitingCount = this.#startMissingSamples(signal);
      this.#startSecondRuns(waitingCount, signal);
      const isIdle = this.#countRuns() === 0 && waitingCount === 0;
      await this.#step.change.wait({
        timeoutMilliseconds: isIdle
          ? IDLE_INTERVAL_MILLISECONDS
          : RUN_INTERVAL_MILLISECONDS,
        signal,
      });
    }
  }

  /** Starts runs of missing samples; returns how many missing samples wait for a server. */
  #startMissingSamples(signal: AbortSignal): number {
    const { clock } = this.#options.context;
    let availableRuns = MAXIMUM_CONCURRENT_SAMPLES - this.#countRuns();
    let waitingCount = 0;
    for (const progress of this.#progress) {
      if (!this.#isMissing(progress.planned)) continue;
      if (progress.activeCount > 0) {
        const isSent = progress.runs.every((run) => run.server !== "");
        if (!isSent) waitingCount += 1;
        continue;
      }
      waitingCount += 1;
      if (availableRuns <= 0 || !progress.isBackoffOver) continue;
      availableRuns -= 1;
      const { avoidServers } = progress;
      const run = new SampleRun({ clock, signal, avoidServers });
      void this.#runOnce(progress, run);
    }
    return waitingCount;
  }

  #startSecondRuns(waiting: number, signal: AbortSignal): void {
    const chosen = this.#options.tailPolicy({
      running: this.#progress
        .filter((progress) => this.#isMissing(progress.planned))
        .flatMap((progress) => progress.toRunningSample() ?? []),
      waiting,
      finished: this.#finished,
      budgetTokens: this.#getRemainingBudget(),
    });
    for (const second of chosen) this.#startSecondRun(second, signal);
  }

  #startSecondRun(second: SecondRun, signal: AbortSignal): void {
    const { clock, metrics } = this.#options.context;
    const progress = this.#progress[second.index];
    const [source] = progress?.runs ?? [];
    if (progress === undefined || source === undefined) return;
    if (second.duplicateTokens > this.#getRemainingBudget()) return;
    this.#secondRunCount += 1;
    metrics.count("step.second_runs", { trainer: this.#step.manifest.trainer });
    const run = new SampleRun({
      clock,
      signal,
      avoidServers: source.server === "" ? [] : [source.server],
      ...(second.resumes && { source }),
    });
    this.#reservedTokens.set(run, second.duplicateTokens);
    void this.#runOnce(progress, run);
  }

  #getRemainingBudget(): number {
    const reservedTokens = [...this.#reservedTokens.values()]
      .reduce((sum, tokens) => sum + tokens, 0);
    return this.#options.budgetTokens() - this.#duplicateTokens -
      reservedTokens;
  }

  #isMissing(planned: PlannedSample): boolean {
    return !this.#step.has(planned.index) &&
      !this.#step.heldByTrainer.has(planned.index);
  }

  async #runOnce(progress: SampleProgress, run: SampleRun): Promise<void> {
    progress.addRun(run);
    const outcome = await this.#complete(progress.planned, run);
    progress.removeRun(run);
    this.#reservedTokens.delete(run);
    this.#generatedTokens += run.ownTokens;
    if (run.wasCancelled && !run.isStale) {
      this.#duplicateTokens += progress.countDuplicateTokens(run);
    }
    if (outcome.kind !== "finished") {
      this.#handleRefusal(progress, run, outcome);
      return;
    }
    if (run.signal.aborted) return;
    if (!this.#acceptCompletion(progress.planned, run, outcome)) {
      const { server } = outcome;
      progress.recordFailure({ server, minimumDelayMilliseconds: 0 });
      return;
    }
    progress.recordFinished(run);
    progress.cancelRuns();
  }

  async #complete(
    planned: PlannedSample,
    run: SampleRun,
  ): Promise<CompletionOutcome> {
    const { manifest } = this.#step;
    const { admission, dispatcher, context } = this.#options;
    this.#attemptCount += 1;
    const work = {
      requestIdentifier:
        `${context.nodeStart}-${manifest.epoch}-${planned.index}-${this.#attemptCount}`,
      service: manifest.service,
      classOfWork: this.#options.classOfWork,
      organisation: manifest.organisation,
      deadline: this.#getDeadline(),
      ledger: this.#options.ledger,
      signal: run.signal,
    };
    const ticket = await admission.admit({
      ...work,
      expectedTokens: planned.maximumTokens,
    });
    if (ticket.kind !== "admitted") return ticket;
    const outcome = await dispatcher.runCompletion({
      ...work,
      prompt: planned.prompt,
      maximumTokens: planned.maximumTokens,
      minimumWeightVersion: this.#getMinimumVersion(),
      avoidServers: run.avoidServers,
      resumeFrom: run.resumedSegments,
      onServer: (address) => run.setServer(address),
      onTokens: (tokens) => {
        if (run.ownTokens === 0) this.#replaceSource(planned, run);
        run.addTokens(tokens);
        if (run.oldestVersion < this.#getMinimumVersion()) run.cancelAsStale();
      },
    });
    ticket.release(run.ownTokens);
    return outcome;
  }

  // Cancels the first run when the second run generates its first token, or the second run when the
  // first one has recovered while the second one waited for its server.
  #replaceSource(planned: PlannedSample, run: SampleRun): void {
    const { source } = run;
    if (source === undefined || source.signal.aborted) return;
    const typicalMillisecondsPerToken = getTypicalMillisecondsPerToken(
      this.#finished,
    );
    const remainingTokens = planned.maximumTokens - run.resumedTokenCount;
    if (
      source.estimateRemaining(
        planned.maximumTokens,
        typicalMillisecondsPerToken,
      ) <=
        remainingTokens * typicalMillisecondsPerToken
    ) {
      run.cancel();
      return;
    }
    this.#duplicateTokens += Math.max(0, source.tokens - run.resumedTokenCount);
    source.cancel();
  }

  #getDeadline(): number {
    const { clock } = this.#options.context;
    const seconds = this.#step.manifest.deadlineSeconds;
    return Math.max(
      this.#startedAt + seconds * 1000,
      clock.monotonic() + MINIMUM_RUN_MILLISECONDS,
    );
  }

  #getMinimumVersion(): number {
    const boundVersions = this.#step.manifest.stalenessBoundVersions;
    return Math.max(0, this.#options.newestVersion() - boundVersions);
  }

  #acceptCompletion(
    planned: PlannedSample,
    run: SampleRun,
    outcome: FinishedCompletion,
  ): boolean {
    const reason = findInvalidReason(outcome);
    if (reason !== undefined) {
      this.#options.context.log.emit("sampleDiscarded", {
        trainer: this.#step.manifest.trainer,
        step: this.#step.manifest.step,
        index: planned.index,
        reason,
        server: outcome.server,
      });
      return false;
    }
    const sample = toSample(planned, outcome);
    const isStale = exceedsStalenessBound(sample, {
      newestVersion: this.#options.newestVersion(),
      boundVersions: this.#step.manifest.stalenessBoundVersions,
    });
    if (isStale) {
      this.#options.ledger.add("staleSamples", run.ageMilliseconds);
      return false;
    }
    this.#recordDuration(run.toFinishedRun());
    const result = this.#step.merge(sample, { isDeliverable: false });
    if (result === "refused" || result === "known") return true;
    this.#options.usage?.record(this.#step.manifest.organisation, {
      requests: 1,
      promptTokens: outcome.usage.promptTokens,
      generatedTokens: outcome.usage.generatedTokens,
    });
    this.#options.onFinished(sample);
    return true;
  }

  #recordDuration(run: FinishedRun): void {
    const typicalMilliseconds = getMedian(
      this.#finished.map((each) => each.milliseconds),
    );
    const excessMilliseconds = run.milliseconds -
      typicalMilliseconds * STRAGGLER_FACTOR;
    if (typicalMilliseconds > 0 && excessMilliseconds > 0) {
      this.#options.ledger.add("straggler", excessMilliseconds);
    }
    this.#finished = [...this.#finished, run].slice(-MAXIMUM_FINISHED_RUNS);
  }

  #handleRefusal(
    progress: SampleProgress,
    run: SampleRun,
    refusal: DispatchRefusal,
  ): void {
    if (run.wasCancelled && !run.isStale) return;
    // A backend failure makes the tokens of the run unreliable, so the runs that resumed from them
    // are cancelled too.
    if (refusal.reason === "backendFailure") progress.cancelRunsFrom(run);
    const avoidsServer = refusal.reason !== "noCapacity";
    const backoffMilliseconds = progress.recordFailure({
      server: avoidsServer ? run.server : "",
      minimumDelayMilliseconds: run.isStale
        ? 0
        : refusal.retryAfterMilliseconds,
    });
    if (progress.activeCount > 0) return;
    const cause = run.isStale ? "staleSamples" : this.#findCause(refusal);
    this.#options.ledger.add(cause, backoffMilliseconds);
  }

  #findCause(refusal: DispatchRefusal): Cause {
    if (refusal.reason !== "noCapacity") return "retry";
    return this.#getMinimumVersion() > 0 ? "weightSwap" : "noCapacity";
  }

  #countRuns(): number {
    return this.#progress.reduce((sum, each) => sum + each.activeCount, 0);
  }
}
