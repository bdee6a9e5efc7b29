import type { StepIntake } from "../durable_steps/step_intake.ts";
import type { UsageMeter } from "../duties/usage_meter.ts";
import {
  type Configuration,
  findRoute,
  type ServiceRoute,
} from "../installation/configuration.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import type { Metrics } from "../observability/metrics.ts";
import type { Clock } from "../utilities/clock.ts";
import type { CallForwarder } from "./call_forwarder.ts";
import type { CallOutcome } from "./call_outcome.ts";

const NOT_CONFIGURED_RETRY_MILLISECONDS = 300;
const STALE_RETRY_MILLISECONDS = 400;

/** A call as it arrives from a caller. */
export interface IncomingCall {
  readonly identifier: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly host: string;
  /** The key that the caller shows; undefined without one. */
  readonly key: string | undefined;
  /** Headers that a server may see. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** How long the caller waits; undefined when it doesn't say. */
  readonly budgetMilliseconds: number | undefined;
  /** Last event that the caller has of a broken stream. */
  readonly afterEvent: number | undefined;
  /** When the call arrived, on the monotonic clock. */
  readonly arrivedAt: number;
  readonly signal: AbortSignal;
}

/** Whose key it is, or why the call is refused. */
export type KeyOutcome =
  | { readonly kind: "organisation"; readonly organisation: string }
  | {
    readonly kind: "refused";
    readonly refusal: "unknownKey" | "staleKeys" | "notConfigured";
    readonly retryAfterMilliseconds?: number;
  };

/** What a call service works with. */
export interface CallServiceOptions {
  readonly clock: Clock;
  readonly operator: OperatorView;
  readonly forwarder: CallForwarder;
  readonly intake: StepIntake;
  readonly usage: UsageMeter;
  readonly metrics: Metrics;
}

/** Serves callers by the configuration in force. */
export class CallService {
  readonly #options: CallServiceOptions;

  /** @param options - The configuration and what serves. */
  constructor(options: CallServiceOptions) {
    this.#options = options;
  }

  /** Serves one call. */
  async serve(call: IncomingCall): Promise<CallOutcome> {
    const outcome = await this.#serve(call);
    const { metrics, clock } = this.#options;
    metrics.count("calls", {
      outcome: outcome.kind,
      detail: describeOutcome(outcome),
    });
    const milliseconds = clock.monotonic() - call.arrivedAt;
    metrics.histogram("call_milliseconds", milliseconds, {
      outcome: outcome.kind,
    });
    return outcome;
  }

  async #serve(call: IncomingCall): Promise<CallOutcome> {
    const { configuration } = this.#options.operator;
    if (configuration === undefined) return NOT_CONFIGURED;
    const path = call.target.split("?")[0] ?? "";
    const route = findRoute(configuration, call.host, path);
    if (route === undefined) {
      // A node that hears nothing of the store may have missed a new route.
      return this.#options.operator.isKeyViewFresh()
        ? { kind: "refused", refusal: "unknownRoute" }
        : STALE;
    }
    if (route.isPublic || configuration.organisationsByKey === undefined) {
      return await this.#forward(call, { route, organisation: undefined });
    }
    const key = this.#resolve(configuration, call.key);
    if (key.kind === "refused") return key;
    const { organisation } = key;
    // The store was asked within the bound, so no withdrawn key gets on.
    if (!this.#options.operator.isKeyViewFresh()) return STALE;
    if (route.kind === "steps" && call.method === "POST") {
      const { identifier, host, body } = call;
      const { intake } = this.#options;
      return await intake.accept({
        identifier,
        organisation,
        host,
        path,
        body,
      });
    }
    return await this.#forward(call, { route, organisation });
  }

  /** Finds the organisation of a key; a call that runs nothing needs no fresh view of keys. */
  identify(key: string | undefined): KeyOutcome {
    const { configuration } = this.#options.operator;
    if (configuration === undefined) return NOT_CONFIGURED;
    return this.#resolve(configuration, key);
  }

  #resolve(configuration: Configuration, key: string | undefined): KeyOutcome {
    const organisation = configuration.organisationsByKey?.get(key ?? "");
    if (organisation !== undefined) {
      return { kind: "organisation", organisation };
    }
    // The key may be one that was given since this node heard of the store.
    return this.#options.operator.isKeyViewFresh()
      ? { kind: "refused", refusal: "unknownKey" }
      : STALE;
  }

  async #forward(
    call: IncomingCall,
    target: {
      readonly route: ServiceRoute;
      readonly organisation: string | undefined;
    },
  ): Promise<CallOutcome> {
    const { forwarder, usage, clock } = this.#options;
    const { route, organisation } = target;
    const begunAt = clock.wall();
    let isCounted = organisation === undefined;
    return await forwarder.forward({
      request: {
        identifier: call.identifier,
        method: call.method,
        path: call.target,
        host: call.host,
        headers: call.headers,
        body: call.body,
        ...(organisation === undefined ? {} : { organisation }),
        ...(call.afterEvent === undefined
          ? {}
          : { afterEvent: call.afterEvent }),
      },
      route,
      deadline: call.arrivedAt +
        (call.budgetMilliseconds ?? route.timeoutMilliseconds),
      signal: call.signal,
      onAnswered: () => {
        if (isCounted || organisation === undefined) return;
        isCounted = true;
        usage.count(organisation, begunAt);
      },
    });
  }
}

function describeOutcome(outcome: CallOutcome): string {
  if (outcome.kind === "refused") return outcome.refusal;
  if (outcome.kind === "unknown") return outcome.reason;
  return "status" in outcome ? String(outcome.status) : "";
}

const NOT_CONFIGURED = {
  kind: "refused",
  refusal: "notConfigured",
  retryAfterMilliseconds: NOT_CONFIGURED_RETRY_MILLISECONDS,
} as const;

const STALE = {
  kind: "refused",
  refusal: "staleKeys",
  retryAfterMilliseconds: STALE_RETRY_MILLISECONDS,
} as const;
