import { create } from "@bufbuild/protobuf";
import {
  type Sample,
  SampleSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { Admission } from "../admission/admission.ts";
import type { UsageCounters } from "../control/usage_counters.ts";
import type {
  CompletionOutcome,
  Dispatcher,
  FinishedCompletion,
} from "../dispatch/dispatcher.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { LedgerEntry } from "../observability/cause_ledger.ts";
import type { HeldStep } from "./held_step.ts";
import { isTooOld } from "./sample_staleness.ts";
import { SampleRun } from "./sample_run.ts";
import type { PlannedSample } from "./step_plan.ts";
import type { RunningSample, TailPolicy } from "./tail_policy.ts";

const RUN_INTERVAL_MILLISECONDS = 50;
const IDLE_INTERVAL_MILLISECONDS = 1000;
const MAXIMUM_CONCURRENT_SAMPLES = 256;
const FIRST_BACKOFF_MILLISECONDS = 50;
const MAXIMUM_BACKOFF_MILLISECONDS = 5000;
const MINIMUM_RUN_MILLISECONDS = 10_000;

/** What the runner of one step needs. */
export interface StepRunnerOptions {
  readonly context: NodeContext;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
  readonly usage?: UsageCounters;
  readonly tailPolicy: TailPolicy;
  /** Tokens that second runs may use over the whole step. */
  readonly spareTokens: number;
  readonly classOfWork: string;
  readonly ledger: LedgerEntry;
  /** Returns the trainer's newest weight version. */
  readonly newestVersion: () => number;
  /** Gets each finished sample that the step took. */
  readonly onFinished: (sample: Sample) => void;
}

interface SampleProgress {
  readonly runs: Set<SampleRun>;
  startedAt: number;
  failures: number;
  notBefore: number;
  /** Servers that failed the sample last. */
  avoidServers: ReadonlyArray<string>;
}

/**
 * Runs the samples of a step that this node owns until aborted: missing ones, and those that the
 * staleness bound made worthless.
 * @example
 * ```ts
 * await new StepRunner(step, options).run(signal);
 * ```
 */
export class StepRunner {
  readonly #step: HeldStep;
  readonly #options: StepRunnerOptions;
  readonly #progress = new Map<number, SampleProgress>();
  readonly #finishedMilliseconds: number[] = [];
  readonly #startedAt: number;
  #spareTokens: number;
  #attempts = 0;
  #generatedTokens = 0;

  /**
   * @param step - The step to run.
   * @param options - What the runner needs.
   */
  constructor(step: HeldStep, options: StepRunnerOptions) {
    this.#step = step;
    this.#options = options;
    this.#spareTokens = options.spareTokens;
    this.#startedAt = options.context.clock.monotonic();
  }

  /** Returns the tokens of all finished runs, also of those that were not used. */
  get generatedTokens(): number {
    return this.#generatedTokens;
  }

  /** Runs samples until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waiting = this.#startRuns(signal);
      this.#startSecondRuns(waiting, signal);
      const isIdle = this.#countRuns() === 0 && waiting === 0;
      await this.#step.change.wait({
        milliseconds: isIdle
          ? IDLE_INTERVAL_MILLISECONDS
          : RUN_INTERVAL_MILLISECONDS,
        signal,
      });
    }
  }

  #startRuns(signal: AbortSignal): number {
    const now = this.#options.context.clock.monotonic();
    let free = MAXIMUM_CONCURRENT_SAMPLES - this.#countRuns();
    let waiting = 0;
    for (const planned of this.#step.plan) {
      if (!this.#isMissing(planned)) continue;
      const progress = this.#getProgress(planned.index);
      if (progress.runs.size > 0) continue;
      if (free <= 0 || progress.notBefore > now) {
        waiting += 1;
        continue;
      }
      free -= 1;
      progress.startedAt = now;
      const { avoidServers } = progress;
      void this.#runOnce(planned, { signal, avoidServers });
    }
    return waiting;
  }

  #startSecondRuns(waiting: number, signal: AbortSignal): void {
    const chosen = this.#options.tailPolicy({
      running: this.#describeRunning(),
      waiting,
      finishedMilliseconds: this.#finishedMilliseconds,
      spareTokens: this.#spareTokens,
    });
    for (const index of chosen) {
      const planned = this.#step.plan[index];
      if (planned === undefined) continue;
      this.#spareTokens -= planned.maximumTokens;
      const runs = [...this.#getProgress(index).runs];
      const avoidServers = runs.map((run) => run.server)
        .filter((server) => server !== "");
      this.#options.context.metrics.count("step.second_runs", {
        trainer: this.#step.manifest.trainer,
      });
      void this.#runOnce(planned, { signal, avoidServers });
    }
  }

  #isMissing(planned: PlannedSample): boolean {
    return !this.#step.has(planned.index) &&
      !this.#step.heldByTrainer.has(planned.index);
  }

  async #runOnce(
    planned: PlannedSample,
    options: {
      readonly signal: AbortSignal;
      readonly avoidServers: ReadonlyArray<string>;
    },
  ): Promise<void> {
    const progress = this.#getProgress(planned.index);
    const { clock } = this.#options.context;
    const run = new SampleRun(planned, options.signal);
    progress.runs.add(run);
    const startedAt = clock.monotonic();
    const outcome = await this.#complete(planned, run, options.avoidServers);
    progress.runs.delete(run);
    if (outcome.kind !== "finished") {
      this.#noteFailure(progress, outcome, run);
      return;
    }
    this.#generatedTokens += outcome.usage.generatedTokens;
    if (options.signal.aborted || run.signal.aborted) return;
    if (!this.#take(planned, outcome)) {
      this.#noteFailure(progress, undefined, run);
      return;
    }
    progress.failures = 0;
    this.#finishedMilliseconds.push(clock.monotonic() - startedAt);
    for (const other of progress.runs) other.cancel();
  }

  async #complete(
    planned: PlannedSample,
    run: SampleRun,
    avoidServers: ReadonlyArray<string>,
  ): Promise<CompletionOutcome> {
    this.#attempts += 1;
    const { manifest } = this.#step;
    const { admission, dispatcher, context } = this.#options;
    const work = {
      requestIdentifier:
        `${context.nodeStart}-${manifest.epoch}-${planned.index}-${this.#attempts}`,
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
      avoidServers,
      onServer: (address) => run.noteServer(address),
      onTokens: (tokens) => {
        run.noteTokens(tokens);
        if (run.oldestVersion < this.#getMinimumVersion()) run.cancelAsStale();
      },
    });
    ticket.release(
      outcome.kind === "finished" ? outcome.usage.generatedTokens : run.tokens,
    );
    return outcome;
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
    const bound = this.#step.manifest.stalenessBoundVersions;
    return Math.max(0, this.#options.newestVersion() - bound);
  }

  #take(planned: PlannedSample, outcome: FinishedCompletion): boolean {
    const reason = findFault(outcome);
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
    const isStale = isTooOld(sample, {
      newestVersion: this.#options.newestVersion(),
      boundVersions: this.#step.manifest.stalenessBoundVersions,
    });
    if (isStale) return false;
    const result = this.#step.offer(sample, { settled: false });
    if (result === "refused" || result === "known") return true;
    this.#options.usage?.record(this.#step.manifest.organisation, {
      requests: 1,
      promptTokens: outcome.usage.promptTokens,
      generatedTokens: outcome.usage.generatedTokens,
    });
    this.#options.onFinished(sample);
    return true;
  }

  #noteFailure(
    progress: SampleProgress,
    outcome: Exclude<CompletionOutcome, FinishedCompletion> | undefined,
    run: SampleRun,
  ): void {
    if (run.wasCancelled && !run.isStale) return;
    const isAvoidable = run.server !== "" && outcome?.reason !== "noCapacity";
    progress.avoidServers = isAvoidable ? [run.server] : [];
    const { clock, random } = this.#options.context;
    progress.failures += 1;
    const ceiling = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      FIRST_BACKOFF_MILLISECONDS * 2 ** Math.min(progress.failures, 10),
    );
    const advised = Math.min(
      outcome?.retryAfterMilliseconds ?? 0,
      MAXIMUM_BACKOFF_MILLISECONDS,
    );
    progress.notBefore = clock.monotonic() + advised +
      random.next() * ceiling;
  }

  #describeRunning(): ReadonlyArray<RunningSample> {
    const now = this.#options.context.clock.monotonic();
    const running: RunningSample[] = [];
    for (const [index, progress] of this.#progress) {
      const planned = this.#step.plan[index];
      if (planned === undefined || progress.runs.size === 0) continue;
      running.push({
        index,
        group: planned.group,
        ageMilliseconds: now - progress.startedAt,
        tokens: Math.max(...[...progress.runs].map((run) => run.tokens)),
        maximumTokens: planned.maximumTokens,
        runs: progress.runs.size,
      });
    }
    return running;
  }

  #countRuns(): number {
    let count = 0;
    for (const progress of this.#progress.values()) count += progress.runs.size;
    return count;
  }

  #getProgress(index: number): SampleProgress {
    const known = this.#progress.get(index);
    if (known !== undefined) return known;
    const progress = {
      runs: new Set<SampleRun>(),
      startedAt: 0,
      failures: 0,
      notBefore: 0,
      avoidServers: [],
    };
    this.#progress.set(index, progress);
    return progress;
  }
}

function findFault(outcome: FinishedCompletion): string | undefined {
  if (outcome.stretches.length === 0) return "missing versions";
  const tokens = outcome.stretches.reduce(
    (sum, stretch) => sum + stretch.tokens,
    0,
  );
  if (tokens === outcome.usage.generatedTokens) return undefined;
  return `stretches of ${tokens} tokens for ${outcome.usage.generatedTokens}`;
}

function toSample(
  planned: PlannedSample,
  outcome: FinishedCompletion,
): Sample {
  return create(SampleSchema, {
    index: planned.index,
    group: planned.group,
    text: outcome.text,
    stretches: outcome.stretches.map((stretch) => ({
      weightVersion: BigInt(stretch.weightVersion),
      tokens: stretch.tokens,
    })),
    finishReason: outcome.finishReason,
    backendServer: outcome.server,
    backendServerStart: outcome.serverStart,
  });
}
