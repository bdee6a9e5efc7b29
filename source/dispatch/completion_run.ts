import type {
  EngineOutcome,
  EngineRequest,
  EngineTokens,
} from "../backends/engine_client.ts";
import {
  digestPrefixes,
  estimatePromptTokens,
} from "../backends/prefix_digest.ts";
import type { DispatchEnd } from "../routing/dispatch_observer.ts";
import type { RoutingChoice } from "../routing/routing_policy.ts";
import type { Placement } from "../routing/placement.ts";
import { invariant } from "../utilities/invariant.ts";
import { accountCompletion } from "./account_completion.ts";
import { CompletionAttempt } from "./completion_attempt.ts";
import type { DispatchComponents } from "./dispatch_components.ts";
import type {
  CompletionOutcome,
  CompletionWork,
  DispatchRefusal,
  FinishedCompletion,
  RefusalReason,
} from "./dispatcher.ts";
import { countRefusal, countRetry } from "./dispatch_metrics.ts";
import { FAILURE_TREATMENTS } from "./failure_treatment.ts";
import { RunBounds } from "./run_bounds.ts";
import { Transcript, type TranscriptCheckpoint } from "./transcript.ts";

/** Maximum number of attempts of one run, the first one included. */
const MAXIMUM_ATTEMPTS = 4;

type FinishedOutcome = Extract<EngineOutcome, { readonly kind: "finished" }>;
type FailedOutcome = Exclude<EngineOutcome, FinishedOutcome>;

interface AttemptTimes {
  readonly address: string;
  readonly totalMilliseconds: number;
  readonly firstTokenMilliseconds: number;
}

/** Runs one completion; after a failed attempt, resumes it, on an untried engine if there is one. */
export class CompletionRun {
  readonly #work: CompletionWork;
  readonly #components: DispatchComponents;
  readonly #bounds: RunBounds;
  readonly #placement: Placement;
  readonly #transcript = new Transcript();
  readonly #tried: string[] = [];
  #mayHaveRun = false;
  #deliveredTokenCount = 0;

  /**
   * @param work - Completion to run.
   * @param components - Components that all runs share.
   */
  constructor(work: CompletionWork, components: DispatchComponents) {
    this.#work = work;
    this.#components = components;
    this.#bounds = new RunBounds(work, components.options.context.clock);
    this.#placement = toPlacement(work);
    for (const tokens of work.resumeFrom ?? []) this.#resumeFrom(tokens);
  }

  /** Runs the completion to its end. */
  async run(): Promise<CompletionOutcome> {
    this.#components.budget.recordFirstAttempt(this.#work.classOfWork);
    const outcome = await this.#attemptAll();
    this.#bounds.close();
    return outcome;
  }

  async #attemptAll(): Promise<CompletionOutcome> {
    for (let attempt = 1;; attempt += 1) {
      const stopReason = this.#bounds.reason;
      if (stopReason !== undefined) {
        return this.#refuse(
          stopReason,
          "The deadline passed or the request was cancelled",
        );
      }
      const choice = this.#select();
      if (choice === undefined) {
        return this.#refuse(
          "noCapacity",
          "No available engine meets the requirements of the completion",
        );
      }
      const checkpoint = this.#transcript.checkpoint();
      const outcome = await this.#attempt(choice);
      if (outcome.kind === "finished") return this.#finish(outcome, choice);
      const refusal = this.#handleFailure(outcome, choice, checkpoint) ??
        await this.#prepareRetry(attempt, outcome);
      if (refusal !== undefined) return refusal;
    }
  }

  #select(): RoutingChoice | undefined {
    return this.#components.selector.select({
      placement: this.#placement,
      minimumWeightVersion: this.#work.minimumWeightVersion,
      avoid: this.#work.avoidServers ?? [],
      tried: this.#tried,
    });
  }

  async #attempt(choice: RoutingChoice): Promise<EngineOutcome> {
    const { options, statistics } = this.#components;
    const { clock } = options.context;
    const { address } = choice.server;
    const startedAt = clock.monotonic();
    const observer = statistics.start(address, this.#placement, startedAt);
    let firstTokenAt = Infinity;
    const newConnection = this.#tried.length > 0;
    this.#tried.push(address);
    this.#work.onServer?.(address);
    const attempt = new CompletionAttempt({
      address,
      request: this.#toRequest(),
      minimumWeightVersion: this.#work.minimumWeightVersion,
      newConnection,
      signal: this.#bounds.signal,
      onHead: () => observer.recordHead(clock.monotonic()),
      onTokens: (tokens) => {
        firstTokenAt = Math.min(firstTokenAt, clock.monotonic());
        observer.recordTokens(tokens.tokens, clock.monotonic());
        this.#deliver(tokens);
      },
    }, this.#components);
    const outcome = await attempt.run();
    const endedAt = clock.monotonic();
    observer.end(toDispatchEnd(outcome), endedAt);
    this.#accountTime(outcome, {
      address,
      totalMilliseconds: endedAt - startedAt,
      firstTokenMilliseconds: firstTokenAt - startedAt,
    });
    return outcome;
  }

  #accountTime(outcome: EngineOutcome, attempt: AttemptTimes): void {
    const { ledger, service } = this.#work;
    if (outcome.kind !== "finished") {
      ledger.add(treatmentOf(outcome).ledgerCause, attempt.totalMilliseconds);
      return;
    }
    const now = this.#components.options.context.clock.monotonic();
    const serviceStatistics = this.#components.statistics.service(service);
    const serverStatistics = this.#components.statistics.server(
      attempt.address,
    );
    accountCompletion(ledger, outcome.usage, {
      ...attempt,
      serverTokenMilliseconds: serverStatistics.tokenMilliseconds(now) ?? 0,
      serviceTokenMilliseconds: serviceStatistics.tokenMilliseconds(now) ?? 0,
      promptTokenMilliseconds: serviceStatistics.promptTokenMilliseconds(),
    });
    this.#components.retryTiming.recordDuration(
      service,
      attempt.totalMilliseconds,
    );
  }

  #toRequest(): EngineRequest {
    const work = this.#work;
    const remainingTokens = work.maximumTokens - this.#transcript.tokens;
    return {
      requestIdentifier: `${work.requestIdentifier}.${this.#tried.length}`,
      model: work.service,
      prompt: work.prompt,
      maximumTokens: Math.max(0, remainingTokens),
      priority: this.#components.priorities.priorityOf(work.classOfWork),
      cacheSalt: work.organisation,
      resumeText: this.#transcript.text,
    };
  }

  #resumeFrom(tokens: EngineTokens): void {
    this.#transcript.add(tokens);
    this.#deliveredTokenCount += tokens.tokens;
  }

  #deliver(tokens: EngineTokens): void {
    this.#transcript.add(tokens);
    if (this.#work.onTokens === undefined) return;
    this.#deliveredTokenCount += tokens.tokens;
    this.#work.onTokens(tokens);
  }

  #finish(outcome: FinishedOutcome, choice: RoutingChoice): FinishedCompletion {
    const { text, tokens, stretches } = this.#transcript;
    invariant(
      this.#work.onTokens === undefined || this.#deliveredTokenCount === tokens,
      `The caller received ${this.#deliveredTokenCount} of ${tokens} tokens`,
    );
    return {
      kind: "finished",
      text,
      stretches,
      finishReason: outcome.finishReason,
      usage: { ...outcome.usage, generatedTokens: tokens },
      server: choice.server.address,
      serverStart: outcome.startIdentity,
    };
  }

  #handleFailure(
    failure: FailedOutcome,
    choice: RoutingChoice,
    checkpoint: TranscriptCheckpoint,
  ): DispatchRefusal | undefined {
    if (failure.kind === "unknown") this.#mayHaveRun = true;
    const treatment = treatmentOf(failure);
    if (treatment.unreachable) {
      this.#components.options.servers.markUnreachable(choice.server.address);
    }
    if (treatment.keepsTokens) return undefined;
    if (this.#deliveredTokenCount > checkpoint.tokens) {
      return this.#refuse("backendFailure", failure.reason);
    }
    this.#transcript.restore(checkpoint);
    return undefined;
  }

  async #prepareRetry(
    attempt: number,
    failure: FailedOutcome,
  ): Promise<DispatchRefusal | undefined> {
    const stopReason = this.#bounds.reason;
    if (stopReason !== undefined) {
      return this.#refuse(stopReason, failure.reason);
    }
    if (attempt >= MAXIMUM_ATTEMPTS) {
      return this.#refuse("backendFailure", failure.reason);
    }
    const { budget, retryTiming, options } = this.#components;
    if (!budget.takeRetry(this.#work.classOfWork)) {
      return this.#refuse("retryBudget", failure.reason);
    }
    const backoffMilliseconds = retryTiming.backoffMilliseconds(
      attempt,
      this.#bounds.remaining(),
    );
    await options.context.clock.sleep(backoffMilliseconds, this.#bounds.signal);
    this.#work.ledger.add("retry", backoffMilliseconds);
    countRetry(options.context.metrics, this.#work);
    return undefined;
  }

  #refuse(reason: RefusalReason, detail: string): DispatchRefusal {
    const { retryTiming, options } = this.#components;
    const refusal: DispatchRefusal = {
      kind: this.#mayHaveRun ? "unknown" : "notRun",
      reason,
      detail,
      retryAfterMilliseconds: retryTiming.retryAfterMilliseconds(
        this.#work.service,
      ),
    };
    countRefusal(options.context.metrics, this.#work, refusal);
    return refusal;
  }
}

function treatmentOf(
  failure: FailedOutcome,
): (typeof FAILURE_TREATMENTS)[keyof typeof FAILURE_TREATMENTS] {
  return FAILURE_TREATMENTS[failure.cause ?? "cut"];
}

function toDispatchEnd(outcome: EngineOutcome): DispatchEnd {
  if (outcome.kind !== "finished") {
    return { kind: "failed", serverFault: treatmentOf(outcome).serverFault };
  }
  const { generatedTokens, cachedTokens } = outcome.usage;
  return { kind: "finished", generatedTokens, cachedTokens };
}

function toPlacement(work: CompletionWork): Placement {
  const { service, organisation, classOfWork, prompt, maximumTokens } = work;
  return {
    service,
    organisation,
    classOfWork,
    prefixDigests: digestPrefixes(organisation, prompt),
    promptTokens: estimatePromptTokens(prompt),
    maximumTokens,
  };
}
