import type {
  EngineOutcome,
  EngineRequest,
  EngineTokens,
  EngineUsage,
} from "../backends/engine_client.ts";
import {
  digestPrefixes,
  estimatePromptTokens,
} from "../backends/prefix_digest.ts";
import type { Placement, RoutingChoice } from "../routing/routing_policy.ts";
import { invariant } from "../utilities/invariant.ts";
import type { DispatchTools } from "./dispatch_tools.ts";
import type {
  CompletionOutcome,
  CompletionWork,
  DispatchRefusal,
  RefusalReason,
} from "./dispatcher.ts";
import { RunBounds } from "./run_bounds.ts";
import { Transcript } from "./transcript.ts";

const MAXIMUM_ATTEMPTS = 4;

type Finish = Extract<EngineOutcome, { readonly kind: "finished" }>;
type Failure = Exclude<EngineOutcome, Finish>;

/** Runs one completion on one engine after the other until it is whole. */
export class CompletionRun {
  readonly #work: CompletionWork;
  readonly #tools: DispatchTools;
  readonly #bounds: RunBounds;
  readonly #placement: Placement;
  readonly #transcript = new Transcript();
  readonly #tried: string[] = [];
  #mayHaveRun = false;
  #tokensGiven = false;
  #ended = false;

  /**
   * @param work - The completion.
   * @param tools - What all runs share.
   */
  constructor(work: CompletionWork, tools: DispatchTools) {
    this.#work = work;
    this.#tools = tools;
    this.#bounds = new RunBounds(work, tools.options.context.clock);
    this.#placement = toPlacement(work);
  }

  /** Runs to the end. */
  async run(): Promise<CompletionOutcome> {
    this.#tools.budget.noteFirstTry(this.#work.classOfWork);
    const outcome = await this.#attemptAll();
    this.#ended = true;
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
      const outcome = await this.#attempt(choice);
      if (outcome.kind === "finished") return this.#finish(outcome, choice);
      this.#noteFailure(outcome, choice);
      const refusal = await this.#prepareRetry(attempt, outcome);
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
    const { options, experience } = this.#tools;
    const { context, servers, engines } = options;
    const { address } = choice.server;
    const startedAt = context.clock.monotonic();
    const dispatch = experience.start(address, startedAt);
    const isRetry = this.#tried.length > 0;
    this.#tried.push(address);
    this.#work.onServer?.(address);
    const outcome = await engines.complete(address, this.#toRequest(), {
      signal: this.#bounds.signal,
      silenceMilliseconds: context.settings.silenceMilliseconds,
      mayStart: () => servers.isAvailable(address),
      newConnection: isRetry,
      onTokens: (tokens) => this.#take(tokens),
    });
    experience.end(dispatch);
    const took = context.clock.monotonic() - startedAt;
    const cause = outcome.kind === "finished" ? "generation" : "retry";
    this.#work.ledger.add(cause, took);
    return outcome;
  }

  #toRequest(): EngineRequest {
    const { work } = { work: this.#work };
    return {
      requestIdentifier: `${work.requestIdentifier}.${this.#tried.length}`,
      model: work.service,
      prompt: work.prompt,
      maximumTokens: work.maximumTokens - this.#transcript.tokens,
      priority: 0,
      cacheSalt: work.organisation,
      resumeText: this.#transcript.text,
    };
  }

  #take(tokens: EngineTokens): void {
    if (this.#bounds.signal.aborted) return;
    invariant(!this.#ended, "Tokens came after the end of a completion");
    this.#transcript.add(tokens);
    if (this.#work.onTokens === undefined) return;
    this.#tokensGiven = true;
    this.#work.onTokens(tokens);
  }

  #finish(outcome: Finish, choice: RoutingChoice): CompletionOutcome {
    const { text, tokens, stretches } = this.#transcript;
    const usage: EngineUsage = { ...outcome.usage, generatedTokens: tokens };
    return {
      kind: "finished",
      text,
      stretches,
      finishReason: outcome.finishReason,
      usage,
      server: choice.server.address,
      serverStart: outcome.startIdentity,
    };
  }

  #noteFailure(failure: Failure, choice: RoutingChoice): void {
    if (failure.kind === "unknown") this.#mayHaveRun = true;
    if (!this.#tokensGiven) this.#transcript.clear();
    if (failure.kind === "notRun" && !this.#bounds.signal.aborted) {
      this.#tools.options.servers.noteUnreachable(choice.server.address);
    }
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
    return undefined;
  }

  #refuse(reason: RefusalReason, detail: string): DispatchRefusal {
    return {
      kind: this.#mayHaveRun ? "unknown" : "notRun",
      reason,
      detail,
      retryAfterMilliseconds: this.#tools.advisor.retryAfterMilliseconds(
        this.#work.service,
      ),
    };
  }
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
