import type {
  EngineOutcome,
  EngineRequest,
  EngineTokens,
} from "../backends/engine_client.ts";
import {
  digestPrefixes,
  estimatePromptTokens,
} from "../backends/prefix_digest.ts";
import type { DispatchEnd } from "../routing/dispatch_record.ts";
import type { RoutingChoice } from "../routing/routing_policy.ts";
import type { Placement } from "../routing/placement.ts";
import { invariant } from "../utilities/invariant.ts";
import { accountCompletion } from "./account_completion.ts";
import { CompletionAttempt } from "./completion_attempt.ts";
import type { DispatchTools } from "./dispatch_tools.ts";
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
import { Transcript, type TranscriptMark } from "./transcript.ts";

const MAXIMUM_ATTEMPTS = 4;

type Finish = Extract<EngineOutcome, { readonly kind: "finished" }>;
type Failure = Exclude<EngineOutcome, Finish>;

interface AttemptTimes {
  readonly address: string;
  readonly whole: number;
  readonly untilFirstToken: number;
}

/** Runs one completion on one engine after the other until it is whole. */
export class CompletionRun {
  readonly #work: CompletionWork;
  readonly #tools: DispatchTools;
  readonly #bounds: RunBounds;
  readonly #placement: Placement;
  readonly #transcript = new Transcript();
  readonly #tried: string[] = [];
  #mayHaveRun = false;
  #tokensGiven = 0;

  /**
   * @param work - The completion.
   * @param tools - What all runs share.
   */
  constructor(work: CompletionWork, tools: DispatchTools) {
    this.#work = work;
    this.#tools = tools;
    this.#bounds = new RunBounds(work, tools.options.context.clock);
    this.#placement = toPlacement(work);
    for (const tokens of work.resumeFrom ?? []) this.#goOnFrom(tokens);
  }

  /** Runs to the end. */
  async run(): Promise<CompletionOutcome> {
    this.#tools.budget.noteFirstTry(this.#work.classOfWork);
    const outcome = await this.#attemptAll();
    this.#bounds.close();
    return outcome;
  }

  async #attemptAll(): Promise<CompletionOutcome> {
    for (let attempt = 1;; attempt += 1) {
      const stopped = this.#bounds.reason;
      if (stopped !== undefined) return this.#refuse(stopped, "Gave up");
      const choice = this.#select();
      if (choice === undefined) {
        return this.#refuse("noCapacity", "No engine may take the work");
      }
      const mark = this.#transcript.mark();
      const outcome = await this.#attempt(choice);
      if (outcome.kind === "finished") return this.#finish(outcome, choice);
      const refusal = this.#settleFailure(outcome, choice, mark) ??
        await this.#prepareRetry(attempt, outcome);
      if (refusal !== undefined) return refusal;
    }
  }

  #select(): RoutingChoice | undefined {
    return this.#tools.selector.select({
      placement: this.#placement,
      minimumWeightVersion: this.#work.minimumWeightVersion,
      avoid: this.#work.avoidServers ?? [],
      tried: this.#tried,
    });
  }

  async #attempt(choice: RoutingChoice): Promise<EngineOutcome> {
    const { options, statistics } = this.#tools;
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
        this.#take(tokens);
      },
    }, this.#tools);
    const outcome = await attempt.run();
    const endedAt = clock.monotonic();
    observer.end(toDispatchEnd(outcome), endedAt);
    this.#account(outcome, {
      address,
      whole: endedAt - startedAt,
      untilFirstToken: firstTokenAt - startedAt,
    });
    return outcome;
  }

  #account(outcome: EngineOutcome, attempt: AttemptTimes): void {
    const { ledger, service } = this.#work;
    if (outcome.kind !== "finished") {
      ledger.add(treat(outcome).ledgerCause, attempt.whole);
      return;
    }
    const now = this.#tools.options.context.clock.monotonic();
    const serviceRecord = this.#tools.statistics.service(service);
    const serverRecord = this.#tools.statistics.server(attempt.address);
    accountCompletion(ledger, outcome.usage, {
      ...attempt,
      tokenHere: serverRecord.tokenMilliseconds(now) ?? 0,
      tokenUsual: serviceRecord.tokenMilliseconds(now) ?? 0,
      promptToken: serviceRecord.promptTokenMilliseconds(),
    });
    this.#tools.advisor.noteServiceTime(service, attempt.whole);
  }

  #toRequest(): EngineRequest {
    const work = this.#work;
    const left = work.maximumTokens - this.#transcript.tokens;
    return {
      requestIdentifier: `${work.requestIdentifier}.${this.#tried.length}`,
      model: work.service,
      prompt: work.prompt,
      maximumTokens: Math.max(0, left),
      priority: this.#tools.priorities.priorityOf(work.classOfWork),
      cacheSalt: work.organisation,
      resumeText: this.#transcript.text,
    };
  }

  #goOnFrom(tokens: EngineTokens): void {
    this.#transcript.add(tokens);
    this.#tokensGiven += tokens.tokens;
  }

  #take(tokens: EngineTokens): void {
    this.#transcript.add(tokens);
    if (this.#work.onTokens === undefined) return;
    this.#tokensGiven += tokens.tokens;
    this.#work.onTokens(tokens);
  }

  #finish(outcome: Finish, choice: RoutingChoice): FinishedCompletion {
    const { text, tokens, stretches } = this.#transcript;
    invariant(
      this.#work.onTokens === undefined || this.#tokensGiven === tokens,
      `The caller got ${this.#tokensGiven} of ${tokens} tokens`,
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

  #settleFailure(
    failure: Failure,
    choice: RoutingChoice,
    mark: TranscriptMark,
  ): DispatchRefusal | undefined {
    if (failure.kind === "unknown") this.#mayHaveRun = true;
    const treatment = treat(failure);
    if (treatment.unreachable) {
      this.#tools.options.servers.noteUnreachable(choice.server.address);
    }
    if (treatment.keepsTokens) return undefined;
    if (this.#tokensGiven > mark.tokens) {
      return this.#refuse("backendFailure", failure.reason);
    }
    this.#transcript.restore(mark);
    return undefined;
  }

  async #prepareRetry(
    attempt: number,
    failure: Failure,
  ): Promise<DispatchRefusal | undefined> {
    const stopped = this.#bounds.reason;
    if (stopped !== undefined) return this.#refuse(stopped, failure.reason);
    if (attempt >= MAXIMUM_ATTEMPTS) {
      return this.#refuse("backendFailure", failure.reason);
    }
    const { budget, advisor, options } = this.#tools;
    if (!budget.takeRetry(this.#work.classOfWork)) {
      return this.#refuse("retryBudget", failure.reason);
    }
    const backoff = advisor.backoffMilliseconds(
      attempt,
      this.#bounds.remaining(),
    );
    await options.context.clock.sleep(backoff, this.#bounds.signal);
    this.#work.ledger.add("retry", backoff);
    countRetry(options.context.metrics, this.#work);
    return undefined;
  }

  #refuse(reason: RefusalReason, detail: string): DispatchRefusal {
    const { advisor, options } = this.#tools;
    const refusal: DispatchRefusal = {
      kind: this.#mayHaveRun ? "unknown" : "notRun",
      reason,
      detail,
      retryAfterMilliseconds: advisor.retryAfterMilliseconds(
        this.#work.service,
      ),
    };
    countRefusal(options.context.metrics, this.#work, refusal);
    return refusal;
  }
}

function treat(
  failure: Failure,
): (typeof FAILURE_TREATMENTS)[keyof typeof FAILURE_TREATMENTS] {
  return FAILURE_TREATMENTS[failure.cause ?? "cut"];
}

function toDispatchEnd(outcome: EngineOutcome): DispatchEnd {
  if (outcome.kind !== "finished") {
    return { kind: "failed", serverFault: treat(outcome).serverFault };
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
