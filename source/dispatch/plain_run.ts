import type {
  ExchangeAnswer,
  ExchangeFailure,
} from "../backends/http_exchange.ts";
import type { DispatchEnd } from "../routing/dispatch_observer.ts";
import type { RoutingChoice } from "../routing/routing_policy.ts";
import type { Placement } from "../routing/placement.ts";
import { invariant } from "../utilities/invariant.ts";
import type { DispatchComponents } from "./dispatch_components.ts";
import type {
  DispatchRefusal,
  PlainOutcome,
  PlainWork,
  RefusalReason,
} from "./dispatcher.ts";
import { countRefusal, countRetry } from "./dispatch_metrics.ts";
import { FAILURE_TREATMENTS } from "./failure_treatment.ts";
import { type PlainBody, readPlainBody } from "./plain_body.ts";
import { relayAnswer } from "./relay_answer.ts";
import { RunBounds } from "./run_bounds.ts";

/** Maximum number of attempts of one run, the first one included. */
const MAXIMUM_ATTEMPTS = 4;

type RelayedOutcome = Exclude<PlainOutcome, DispatchRefusal>;

/** Runs one plain call, and retries it on other servers where that is allowed. */
export class PlainRun {
  readonly #work: PlainWork;
  readonly #components: DispatchComponents;
  readonly #bounds: RunBounds;
  readonly #placement: Placement;
  readonly #tried: string[] = [];
  #unknownAttempts = 0;

  /**
   * @param work - Call to run.
   * @param components - Components that all runs share.
   */
  constructor(work: PlainWork, components: DispatchComponents) {
    this.#work = work;
    this.#components = components;
    this.#bounds = new RunBounds(work, components.options.context.clock);
    this.#placement = toPlacement(work);
  }

  /** Runs the call to its end. */
  async run(): Promise<PlainOutcome> {
    this.#components.budget.recordFirstAttempt(this.#work.classOfWork);
    const outcome = await this.#attemptAll();
    this.#bounds.close();
    return outcome;
  }

  async #attemptAll(): Promise<PlainOutcome> {
    const body = await readPlainBody(this.#work.request);
    if (body === undefined) {
      return this.#refuse("cancelled", "The caller disconnected");
    }
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
          "No backend server is available for the call",
        );
      }
      const outcome = await this.#attempt(choice, body);
      if (outcome.kind === "finished" || outcome.kind === "cut") return outcome;
      this.#recordFailure(outcome, choice);
      const refusal = await this.#prepareRetry(attempt, outcome, body);
      if (refusal !== undefined) return refusal;
    }
  }

  #select(): RoutingChoice | undefined {
    return this.#components.selector.select({
      placement: this.#placement,
      minimumWeightVersion: 0,
      avoid: [],
      tried: this.#tried,
    });
  }

  async #attempt(
    choice: RoutingChoice,
    body: PlainBody,
  ): Promise<RelayedOutcome | ExchangeFailure> {
    const { options, statistics } = this.#components;
    const { clock } = options.context;
    const { address } = choice.server;
    const startedAt = clock.monotonic();
    const observer = statistics.start(address, this.#placement, startedAt);
    this.#tried.push(address);
    const answer = await this.#open(address, body);
    const outcome = answer.kind === "answered"
      ? await this.#relay(answer, address)
      : answer;
    observer.end(toDispatchEnd(outcome), clock.monotonic());
    this.#accountTime(outcome, clock.monotonic() - startedAt);
    return outcome;
  }

  #accountTime(
    outcome: RelayedOutcome | ExchangeFailure,
    milliseconds: number,
  ): void {
    const { ledger, service } = this.#work;
    if ("cause" in outcome) {
      ledger.add(FAILURE_TREATMENTS[outcome.cause].ledgerCause, milliseconds);
      return;
    }
    ledger.add("generation", milliseconds);
    this.#components.retryTiming.recordDuration(service, milliseconds);
  }

  #recordFailure(failure: ExchangeFailure, choice: RoutingChoice): void {
    if (failure.kind === "unknown") this.#unknownAttempts += 1;
    if (!FAILURE_TREATMENTS[failure.cause].unreachable) return;
    this.#components.options.servers.markUnreachable(choice.server.address);
  }

  #open(
    address: string,
    body: PlainBody,
  ): Promise<ExchangeAnswer | ExchangeFailure> {
    const work = this.#work;
    const { context, servers, plainServices } = this.#components.options;
    invariant(
      work.repeatable || this.#unknownAttempts === 0,
      "A non-repeatable call was about to run a second time",
    );
    return plainServices.open(address, {
      requestIdentifier: work.requestIdentifier,
      method: work.request.method ?? "GET",
      path: work.path,
      headers: work.request.headers,
      ...(body.content === undefined ? {} : { body: body.content }),
      newConnection: !work.repeatable || this.#tried.length > 1,
    }, {
      signal: this.#bounds.signal,
      silenceMilliseconds: context.settings.silenceMilliseconds,
      mayStart: () => servers.isAvailable(address),
    });
  }

  async #relay(
    answer: ExchangeAnswer,
    server: string,
  ): Promise<RelayedOutcome> {
    const { response } = this.#work;
    const relayed = await relayAnswer(answer, response, this.#bounds.signal);
    if (relayed.kind === "cut") return relayed;
    return { kind: "finished", status: answer.status, server };
  }

  async #prepareRetry(
    attempt: number,
    failure: ExchangeFailure,
    body: PlainBody,
  ): Promise<DispatchRefusal | undefined> {
    const detail = failure.reason;
    const stopReason = this.#bounds.reason;
    if (stopReason !== undefined) return this.#refuse(stopReason, detail);
    if (attempt >= MAXIMUM_ATTEMPTS || !this.#mayRetry(failure, body)) {
      return this.#refuse("backendFailure", detail);
    }
    const { budget, retryTiming, options } = this.#components;
    if (!budget.takeRetry(this.#work.classOfWork)) {
      return this.#refuse("retryBudget", detail);
    }
    const remainingMilliseconds = this.#bounds.remaining();
    const backoffMilliseconds = retryTiming.backoffMilliseconds(
      attempt,
      remainingMilliseconds,
    );
    await options.context.clock.sleep(backoffMilliseconds, this.#bounds.signal);
    this.#work.ledger.add("retry", backoffMilliseconds);
    countRetry(options.context.metrics, this.#work);
    return undefined;
  }

  #mayRetry(
    failure: ExchangeFailure,
    body: PlainBody,
  ): boolean {
    if (failure.kind === "notRun") return true;
    return this.#work.repeatable && body.replayable;
  }

  #refuse(reason: RefusalReason, detail: string): DispatchRefusal {
    const { retryTiming, options } = this.#components;
    const refusal: DispatchRefusal = {
      kind: this.#unknownAttempts > 0 ? "unknown" : "notRun",
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

const SERVER_ERROR_STATUS = 500;

function toDispatchEnd(
  outcome: RelayedOutcome | ExchangeFailure,
): DispatchEnd {
  if (outcome.kind === "finished") {
    return outcome.status >= SERVER_ERROR_STATUS
      ? { kind: "failed", serverFault: true }
      : { kind: "finished", generatedTokens: 0, cachedTokens: 0 };
  }
  if (outcome.kind === "cut") return { kind: "failed", serverFault: true };
  const { serverFault } = FAILURE_TREATMENTS[outcome.cause];
  return { kind: "failed", serverFault };
}

function toPlacement(work: PlainWork): Placement {
  const { service, organisation, classOfWork } = work;
  return {
    service,
    organisation,
    classOfWork,
    prefixDigests: [],
    promptTokens: 0,
    maximumTokens: 0,
  };
}
