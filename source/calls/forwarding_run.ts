import type { AttemptResult } from "./attempt_result.ts";
import { AttemptSender } from "./attempt_sender.ts";
import { type AttemptRun, AttemptSet } from "./attempt_set.ts";
import {
  type AllowedRegions,
  mayProcess,
} from "../decisions/allowed_regions.ts";
import { mustLeaveService } from "../decisions/service_choice.ts";
import type { ServerAnswer } from "../backends/server_client.ts";
import {
  selectService,
  type ServiceRoute,
} from "../installation/configuration.ts";
import type { CallOutcome } from "./call_outcome.ts";
import type { Peer } from "./call_relay.ts";
import type { GuardedCall } from "./crash_guard.ts";
import type { ForwardedCall } from "./forwarded_call.ts";
import {
  NO_ALLOWED_REGION,
  STOPPING,
  toAnsweredOutcome,
  toEvacuatedOutcome,
  toHeldOutcome,
  toStreamLimits,
  toUnrunOutcome,
} from "./forwarding_outcomes.ts";
import { ServerCandidates } from "./server_candidates.ts";
import type { CallForwarderOptions } from "./call_forwarder_options.ts";

/** Pause before the first repeated attempt when every server was tried. */
const RETRY_PAUSE_MILLISECONDS = 20;
const MAXIMUM_RETRY_PAUSE_MILLISECONDS = 160;
/**
 * Share of the latency target for which a call that no server ran is retried before it is refused.
 */
const UNRUN_RETRY_SHARE = 0.5;
/** Maximum number of nodes that are tried in turn while this node does not reach the servers. */
const MAXIMUM_RELAYS = 3;
const OPEN = { kind: "open" } as const;
/** Time reserved for the response to reach the caller before the caller's deadline. */
const RESPONSE_MARGIN_MILLISECONDS = 15;

/** One call on its way: the attempts at servers and what they say of the call. */
export class ForwardingRun {
  readonly #options: CallForwarderOptions;
  readonly #call: ForwardedCall;
  #service: string;
  readonly #startedAt: number;
  readonly #deadline: number;
  readonly #guarded: GuardedCall | undefined;
  #candidates: ServerCandidates;
  readonly #attempts: AttemptSet;
  readonly #sender: AttemptSender;
  /** Number of attempts through other nodes. */
  #relayCount = 0;
  /** Whether the first attempt was counted in the budget for retries. */
  #isCounted = false;
  #retryPauseMilliseconds = RETRY_PAUSE_MILLISECONDS;
  /**
   * Result to report when no attempt succeeds; a response with a 5xx status replaces any other
   * result.
   */
  #failureToReport: AttemptResult | undefined;

  /**
   * @param options - The known servers and the client that reaches them.
   * @param call - The call.
   */
  constructor(options: CallForwarderOptions, call: ForwardedCall) {
    this.#options = options;
    this.#call = call;
    this.#service = call.origin?.service ??
      this.#selectService(call.route);
    this.#startedAt = options.clock.monotonic();
    this.#attempts = new AttemptSet(options.clock, call.signal);
    this.#candidates = this.#createCandidates();
    this.#guarded = call.mayCrashServers
      ? options.crashGuard.watch(call.request, this.#service)
      : undefined;
    this.#deadline = Math.min(
      call.deadline - RESPONSE_MARGIN_MILLISECONDS,
      this.#startedAt + call.route.timeoutMilliseconds,
    );
    this.#sender = new AttemptSender({
      ...options,
      call,
      deadline: this.#deadline,
      guarded: this.#guarded,
    });
  }

  /** Forwards the call until its outcome is known. */
  async run(): Promise<CallOutcome> {
    for (;;) {
      const outcome = await this.#runAtService();
      if (outcome !== undefined) return outcome;
      this.#followRoute();
    }
  }

  // Forwards the call to the servers of its service; returns undefined when no server has run it and it
  // must ask again, as its route has moved to other services or may use other regions.
  async #runAtService(): Promise<CallOutcome | undefined> {
    const { gate, clock } = this.#options;
    const { priority, organisation, isDeferrable, signal } = this.#call;
    const allowedRegions = this.#allowedRegions;
    const service = this.#service;
    if (this.#allowedRegions?.isEmpty === true) return NO_ALLOWED_REGION;
    const hold = this.#guarded?.findHold();
    if (hold !== undefined) return toHeldOutcome(hold);
    if (this.#isEvacuated) return this.#refuseEvacuated();
    const passed = this.#isRelayNeeded ? OPEN : await gate.pass({
      service,
      priority,
      organisation,
      isDeferrable,
      deadline: this.#deadline,
      signal,
      allowedRegions,
      waitsSince: this.#startedAt,
      isOutdated: () =>
        this.#hasRouteMoved ||
        this.#allowedRegions?.key !== allowedRegions?.key,
    });
    if (passed.kind === "outdated") return undefined;
    if (passed.kind === "stopping") return STOPPING;
    if (passed.kind === "cancelled") return { kind: "abandoned" };
    if (passed.kind === "rejected") {
      // Another service of the route may have servers.
      if (this.#hasRouteMoved) return undefined;
      const { retryAfterMilliseconds } = passed;
      return { kind: "refused", refusal: "overloaded", retryAfterMilliseconds };
    }
    const passedAt = passed === OPEN ? undefined : clock.monotonic();
    // The evacuation may have started while the call waited.
    if (this.#isEvacuated && !this.#hasRouteMoved) {
      return this.#refuseEvacuated();
    }
    try {
      // The node that forwards a call claims the trial itself.
      const admission = this.#isRelayNeeded
        ? undefined
        : await this.#guarded?.admit();
      if (admission?.kind === "held") {
        return toHeldOutcome(admission.retryAfterMilliseconds);
      }
      return await this.#runAttempts();
    } finally {
      if (this.#attempts.possiblyExecuted === 0) {
        this.#guarded?.returnTrial();
      }
      gate.recordEnd(
        service,
        passedAt === undefined ? undefined : {
          organisation,
          milliseconds: clock.monotonic() - passedAt,
        },
      );
      this.#attempts.cancel();
    }
  }

  async #runAttempts(): Promise<CallOutcome | undefined> {
    const { clock, retryBudget } = this.#options;
    if (this.#hasRouteMoved) return undefined;
    if (!this.#isCounted) {
      this.#isCounted = true;
      retryBudget.recordFirstAttempt(this.#call.route.name);
    }
    let hedgeAt = this.#startAttempt();
    for (;;) {
      if (this.#call.signal.aborted) return { kind: "abandoned" };
      const done = this.#takeOutcome();
      if (done !== undefined) return done;
      const now = clock.monotonic();
      if (now >= this.#deadline) return this.#toFinalOutcome();
      if (this.#attempts.running === 0) {
        if (this.#attempts.hasFailedToConnect) {
          await this.#options.callRelay.check();
        }
        if (!this.#mayRetry()) return this.#toFinalOutcome();
        if (!this.#isRelayNeeded && !this.#candidates.hasUntried) {
          await this.#attempts.wait(this.#nextRetryPause());
        }
        if (this.#hasRouteMoved) {
          if (this.#attempts.possiblyExecuted === 0) return undefined;
          this.#followRoute();
        }
        hedgeAt = this.#startAttempt();
      } else if (now >= hedgeAt) {
        hedgeAt = await this.#startHedge();
      } else {
        await this.#attempts.wait(
          Math.min(hedgeAt, this.#deadline) - now,
        );
      }
    }
  }

  #createCandidates(): ServerCandidates {
    return new ServerCandidates({
      ...this.#options,
      service: this.#service,
      origin: this.#call.origin,
      findAllowedRegions: () => this.#allowedRegions,
    });
  }

  // Whether the route that is in force does not use the call's service, or another one in its place.
  get #hasRouteMoved(): boolean {
    return this.#findNewRoute() !== undefined;
  }

  // Returns the route that is in force if the call must choose one of its services anew. A stream goes
  // on at the service that began it.
  #findNewRoute(): ServiceRoute | undefined {
    const { origin, route: known, findRoute } = this.#call;
    if (origin !== undefined) return undefined;
    const route = findRoute?.();
    if (route === undefined || route.kind !== known.kind) return undefined;
    const isUsable = (service: string) => this.#isServing(service);
    const wait = { current: this.#service, isUsable };
    return mustLeaveService(route.services, wait) ? route : undefined;
  }

  #selectService(route: ServiceRoute): string {
    const draw = this.#options.random.next();
    return selectService(route, draw, (each) => this.#isServing(each));
  }

  #isServing(service: string): boolean {
    const allowed = this.#allowedRegions;
    return this.#options.servers.ofService(service).some((server) =>
      mayProcess(allowed, server)
    );
  }

  #followRoute(): void {
    const route = this.#findNewRoute();
    if (route === undefined) return;
    const former = this.#service;
    this.#service = this.#selectService(route);
    this.#candidates = this.#createCandidates();
    this.#guarded?.moveTo(this.#service);
    this.#options.log.emit("callMoved", {
      request: this.#call.request.identifier,
      former,
      service: this.#service,
    });
  }

  get #isEvacuated(): boolean {
    const { servers } = this.#options;
    return servers.isServiceEvacuated(this.#service, this.#allowedRegions);
  }

  #refuseEvacuated(): CallOutcome {
    return toEvacuatedOutcome(this.#options.random.next());
  }

  get #allowedRegions(): AllowedRegions | undefined {
    return this.#call.findAllowedRegions?.();
  }

  get #isRelayNeeded(): boolean {
    return this.#call.relay !== undefined &&
      this.#options.callRelay.isNeededFor(this.#allowedRegions);
  }

  // Starts a second attempt while the first one runs. If no server has answered this node meanwhile,
  // the first one may hang because the node is cut off from all of them.
  async #startHedge(): Promise<number> {
    const { callRelay } = this.#options;
    if (callRelay.isQuietSince(this.#startedAt)) await callRelay.check();
    if (this.#attempts.hasResult) return Infinity;
    this.#followRoute();
    if (!this.#mayHedge()) return Infinity;
    return this.#startAttempt();
  }

  // Starts an attempt; returns the monotonic time, in milliseconds, from which a hedged attempt may
  // start, and Infinity when no server of the service can get the call now.
  #startAttempt(): number {
    const { callRelay } = this.#options;
    const peer = this.#isRelayNeeded
      ? callRelay.choosePeer(this.#allowedRegions)
      : undefined;
    if (peer !== undefined) return this.#startRelay(peer);
    const server = this.#candidates.take();
    if (server === undefined) {
      this.#attempts.add({ kind: "notRun", isRefused: true });
      return Infinity;
    }
    return this.#start((signal) => this.#sender.send(server, signal));
  }

  #startRelay(peer: Peer): number {
    this.#relayCount += 1;
    return this.#start((signal) => this.#sender.relay(peer, signal));
  }

  // Returns the monotonic time, in milliseconds, from which a hedged attempt may start.
  #start(run: AttemptRun): number {
    this.#attempts.start(run);
    const { hedgeTiming, clock } = this.#options;
    const { name, latencyTargetMilliseconds } = this.#call.route;
    return clock.monotonic() + hedgeTiming.delayMilliseconds(
      name,
      latencyTargetMilliseconds,
    );
  }

  #takeOutcome(): CallOutcome | undefined {
    for (const result of this.#attempts.takeResults()) {
      if (result.kind === "streaming") {
        return this.#toStreamingOutcome(result.answer);
      }
      if (result.kind === "complete" && result.status < 500) {
        return toAnsweredOutcome(result);
      }
      if (
        result.kind === "complete" || this.#failureToReport?.kind !== "complete"
      ) {
        this.#failureToReport = result;
      }
    }
    return undefined;
  }

  #toStreamingOutcome(answer: ServerAnswer): CallOutcome {
    const { status, headers, body } = answer;
    // The stream outlives this run, so `finish`, not `run`, cancels the attempts.
    const finish = this.#attempts.detach();
    const limits = toStreamLimits(this.#call.route, {
      startedAt: this.#startedAt,
      deadline: this.#deadline,
      now: this.#options.clock.monotonic(),
    });
    return { kind: "streaming", status, headers, body, ...limits, finish };
  }

  #mayRetry(): boolean {
    const { route } = this.#call;
    if (this.#attempts.possiblyExecuted === 0) {
      return this.#mayRetryUnrunCall();
    }
    return route.kind === "idempotent" &&
      this.#attempts.possiblyExecuted < route.maximumAttempts &&
      this.#guarded?.mayRepeat !== false &&
      this.#options.retryBudget.takeRetry(route.name);
  }

  #mayRetryUnrunCall(): boolean {
    if (this.#isEvacuated) return false;
    if (this.#isRelayNeeded) return this.#relayCount < MAXIMUM_RELAYS;
    const { latencyTargetMilliseconds } = this.#call.route;
    const waited = this.#options.clock.monotonic() - this.#startedAt;
    return waited < UNRUN_RETRY_SHARE * latencyTargetMilliseconds;
  }

  #mayHedge(): boolean {
    const { route } = this.#call;
    return route.kind === "idempotent" &&
      this.#attempts.possiblyExecuted < route.maximumAttempts &&
      (this.#isRelayNeeded || this.#candidates.hasFree) &&
      this.#guarded?.isSuspect !== true &&
      this.#options.retryBudget.takeRetry(route.name);
  }

  // Returns the pause before the next attempt, twice the last one, so that calls do not come back
  // faster the fuller the servers are.
  #nextRetryPause(): number {
    const pause = this.#retryPauseMilliseconds;
    this.#retryPauseMilliseconds = Math.min(
      2 * pause,
      MAXIMUM_RETRY_PAUSE_MILLISECONDS,
    );
    return pause * (0.75 + 0.5 * this.#options.random.next());
  }

  #toFinalOutcome(): CallOutcome {
    const failure = this.#failureToReport;
    if (failure?.kind === "complete") return toAnsweredOutcome(failure);
    if (this.#attempts.possiblyExecuted === 0) {
      if (this.#isEvacuated) return this.#refuseEvacuated();
      const { serverStatistics, random } = this.#options;
      const { all } = this.#candidates;
      return toUnrunOutcome({
        roomWaitMilliseconds: serverStatistics.waitForRoom(all, {
          requests: 1,
          earlier: 0,
        }),
        warmUpWaitMilliseconds: serverStatistics.getWarmUpWait(all),
      }, random.next());
    }
    const reason = this.#attempts.running > 0 ? "timedOut" : "serverFailed";
    return { kind: "unknown", reason };
  }
}
