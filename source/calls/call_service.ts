import type { StepIntake } from "../durable_steps/step_intake.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { UsageMeter } from "../duties/usage_meter.ts";
import {
  type Configuration,
  findPriority,
  findRoute,
  type ServiceRoute,
} from "../installation/configuration.ts";
import type { RegionRules } from "../installation/region_rules.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import type { Metrics } from "../observability/metrics.ts";
import type { Clock } from "../utilities/clock.ts";
import type { CallForwarder } from "./call_forwarder.ts";
import {
  CallerIdentity,
  NOT_CONFIGURED,
  STALE_KEYS,
} from "./caller_identity.ts";
import type { IncomingCall } from "./incoming_call.ts";
import type { CallOutcome } from "./call_outcome.ts";
import type { DrainAdmission } from "./drain_admission.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import type { ServerStarts } from "../installation/server_starts.ts";
import {
  type AllowedRegions,
  mayProcess,
} from "../decisions/allowed_regions.ts";
import {
  decideStreamContinuation,
  type StreamContinuation,
  type StreamOrigin,
} from "../decisions/stream_continuation.ts";

/** Delay after which a stream may be taken up again; servers restart within seconds. */
const STREAM_RETRY_MILLISECONDS = 400;
/** Time for which streams last at most and their callers may take them up. */
const STREAM_LIFETIME_MILLISECONDS = 60_000;

interface CallTarget {
  readonly route: ServiceRoute;
  readonly organisation: string | undefined;
}

/** Dependencies of a call service. */
export interface CallServiceOptions {
  readonly clock: Clock;
  readonly operator: OperatorView;
  readonly forwarder: CallForwarder;
  readonly servers: ServerView;
  readonly regionRules: Pick<RegionRules, "find">;
  readonly streamOrigins: StreamOrigins;
  readonly serverStarts: Pick<ServerStarts, "mayHaveChanged">;
  readonly intake: StepIntake;
  readonly usage: UsageMeter;
  readonly drainAdmission: DrainAdmission;
  readonly metrics: Metrics;
}

/** Serves callers according to the configuration in force. */
export class CallService {
  /** Finds whose calls these are. */
  readonly identity: CallerIdentity;
  readonly #options: CallServiceOptions;

  /** @param options - The configuration and the parts that run calls. */
  constructor(options: CallServiceOptions) {
    this.#options = options;
    this.identity = new CallerIdentity(options.operator);
  }

  /** Serves one call and records its outcome and duration as metrics. */
  async serve(call: IncomingCall): Promise<CallOutcome> {
    const outcome = await this.#dispatch(call);
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

  async #dispatch(call: IncomingCall): Promise<CallOutcome> {
    const { configuration } = this.#options.operator;
    if (configuration === undefined) return NOT_CONFIGURED;
    // A caller must not see an older configuration than its node has applied.
    const minimum = call.relayed?.minimumConfiguration ?? 0;
    if (configuration.version < minimum) return NOT_CONFIGURED;
    const path = call.target.split("?")[0] ?? "";
    const route = findRoute(configuration, call.host, path);
    if (route === undefined) return this.identity.refuseUnknownRoute();
    const refusal = this.#options.drainAdmission.findRefusal(
      route,
      toDeadline(call, route),
    );
    if (refusal !== undefined) return refusal;
    const since = this.#options.clock.monotonic();
    const outcome = await this.#serveRoute(call, {
      configuration,
      route,
      path,
    });
    return this.#measure(outcome, { route, since });
  }

  async #serveRoute(
    call: IncomingCall,
    { configuration, route, path }: {
      readonly configuration: Configuration;
      readonly route: ServiceRoute;
      readonly path: string;
    },
  ): Promise<CallOutcome> {
    if (route.isPublic || configuration.organisationsByKey === undefined) {
      return await this.#forward(call, { route, organisation: undefined });
    }
    const key = this.identity.resolveKey(configuration, call.key);
    if (key.kind === "refused") return key;
    const { organisation } = key;
    // Calls run only on a fresh view of the keys, so that no call runs with a withdrawn key.
    if (!this.#options.operator.isKeyViewFresh()) return STALE_KEYS;
    if (route.kind === "steps" && call.method === "POST") {
      const { identifier, host, body } = call;
      const { intake } = this.#options;
      return await intake.accept({
        identifier,
        organisation,
        host,
        path,
        body,
        route,
      });
    }
    return await this.#forward(call, { route, organisation });
  }

  // Records how long the calls of a route take that are answered completely.
  #measure(
    outcome: CallOutcome,
    { route, since }: {
      readonly route: ServiceRoute;
      readonly since: number;
    },
  ): CallOutcome {
    const { drainAdmission } = this.#options;
    if (outcome.kind === "answered") {
      drainAdmission.recordDuration(route, since);
    }
    if (outcome.kind !== "streaming") return outcome;
    const body = watchEnd(
      outcome.body,
      () => drainAdmission.recordDuration(route, since),
    );
    return { ...outcome, body };
  }

  async #forward(
    call: IncomingCall,
    target: CallTarget,
  ): Promise<CallOutcome> {
    if (target.route.kind !== "streaming" || !target.route.isResumable) {
      return await this.#forwardTo(call, target, {});
    }
    if (call.afterEvent !== undefined) {
      return await this.#continueStream(call, target);
    }
    const { organisation } = target;
    const { identifier } = call;
    return await this.#forwardTo(call, target, {
      onStreaming: (server) =>
        this.#options.streamOrigins.record({ identifier, organisation }, {
          service: server.service,
          softwareVersion: server.softwareVersion,
          server: {
            identifier: server.identifier,
            startedAt: server.startedAt,
          },
        }),
    });
  }

  async #continueStream(
    call: IncomingCall,
    target: CallTarget,
  ): Promise<CallOutcome> {
    const continuation = await this.#decideContinuation(call, target);
    if (continuation.kind === "continue") {
      const { origin } = continuation;
      return await this.#forwardTo(call, target, { origin });
    }
    return {
      kind: "refused",
      refusal: continuation.refusal,
      retryAfterMilliseconds: STREAM_RETRY_MILLISECONDS,
    };
  }

  #findRoute({ host, target }: IncomingCall): ServiceRoute | undefined {
    const { configuration } = this.#options.operator;
    if (configuration === undefined) return undefined;
    return findRoute(configuration, host, target.split("?")[0] ?? "");
  }

  #findAllowedRegions(
    { host, target }: IncomingCall,
    { organisation }: CallTarget,
  ): AllowedRegions | undefined {
    const path = target.split("?")[0] ?? "";
    return this.#options.regionRules.find({ host, path, organisation });
  }

  async #decideContinuation(
    call: IncomingCall,
    target: CallTarget,
  ): Promise<StreamContinuation> {
    const { route, organisation } = target;
    const { servers, streamOrigins, serverStarts } = this.#options;
    const finding = await streamOrigins.find({
      identifier: call.resumedRequest,
      organisation,
    });
    const origin = finding.kind === "found" ? finding.origin : undefined;
    const isServing = origin !== undefined &&
      servers.ofService(origin.service).some(({ softwareVersion }) =>
        softwareVersion === origin.softwareVersion
      );
    // This node may be out of step, and not know of servers that began the stream.
    const isConfirmed = isServing || finding.kind === "unreadable" ||
      await servers.confirm();
    const allowed = this.#findAllowedRegions(call, target);
    return decideStreamContinuation(finding, {
      isOriginDoubtful: origin?.server !== undefined &&
        await serverStarts.mayHaveChanged(
          origin.server,
          origin.softwareVersion,
        ),
      services: route.services.map(({ service }) => service),
      serving: (service) =>
        new Set(
          servers.ofService(service)
            .filter((server) => mayProcess(allowed, server))
            .map((server) => server.softwareVersion),
        ),
      seen: (service) =>
        isConfirmed
          ? servers.softwareVersionsSeen(service, STREAM_LIFETIME_MILLISECONDS)
          : undefined,
    });
  }

  async #forwardTo(
    call: IncomingCall,
    target: CallTarget,
    stream: {
      readonly origin?: StreamOrigin;
      readonly onStreaming?: (server: BackendServerEntry) => void;
    },
  ): Promise<CallOutcome> {
    const { forwarder, usage, clock, operator } = this.#options;
    const { route, organisation } = target;
    const entry = organisation === undefined
      ? undefined
      : usage.open(organisation, clock.wall());
    try {
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
        // The node that relays a call counts one attempt.
        route: call.relayed === undefined
          ? route
          : { ...route, maximumAttempts: 1 },
        findRoute: () => this.#findRoute(call),
        priority: findPriority(operator.configuration, route, organisation),
        organisation,
        isDeferrable: false,
        mayCrashServers: true,
        ...(call.relayed === undefined
          ? {
            relay: {
              key: call.key,
              configurationVersion: operator.configuration?.version ?? 0,
            },
          }
          : {}),
        deadline: Math.min(
          toDeadline(call, route),
          this.#options.drainAdmission.endsAt,
        ),
        signal: call.signal,
        onAnswered: () => entry?.count(),
        findAllowedRegions: () => this.#findAllowedRegions(call, target),
        ...stream,
      });
    } finally {
      entry?.end();
    }
  }
}

// Returns the monotonic time, in milliseconds, until which a call may run.
function toDeadline(
  { arrivedAt, budgetMilliseconds }: IncomingCall,
  { kind, timeoutMilliseconds }: ServiceRoute,
): number {
  const budget = budgetMilliseconds ?? timeoutMilliseconds;
  // The timeout of a route of streams does not limit the time until their last event.
  return arrivedAt +
    (kind === "streaming" ? budget : Math.min(budget, timeoutMilliseconds));
}

async function* watchEnd(
  body: AsyncIterable<Buffer>,
  onEnd: () => void,
): AsyncGenerator<Buffer> {
  yield* body;
  onEnd();
}

function describeOutcome(outcome: CallOutcome): string {
  if (outcome.kind === "refused") return outcome.refusal;
  if (outcome.kind === "unknown") return outcome.reason;
  return "status" in outcome ? String(outcome.status) : "";
}
