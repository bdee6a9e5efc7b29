import type { ServerClient } from "../backends/server_client.ts";
import { mayProcess } from "../decisions/allowed_regions.ts";
import type { HedgeTiming } from "../decisions/hedge_timing.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import { type AttemptResult, toAttemptResult } from "./attempt_result.ts";
import type { CallRelay, Peer } from "./call_relay.ts";
import type { GuardedCall } from "./crash_guard.ts";
import type { ForwardedCall } from "./forwarded_call.ts";
import { describeFailure } from "./forwarding_outcomes.ts";
import type { ServerCallStatistics } from "./server_call_statistics.ts";

/** Dependencies of the sender of one call's attempts. */
export interface AttemptSenderOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly servers: Pick<ServerView, "isServing">;
  readonly client: Pick<ServerClient, "open">;
  readonly serverStatistics: ServerCallStatistics;
  readonly callRelay: Pick<CallRelay, "send">;
  readonly hedgeTiming: HedgeTiming;
  readonly call: ForwardedCall;
  /** Monotonic time, in milliseconds, at which an attempt must have ended. */
  readonly deadline: number;
  /** Watches the attempts of a call that may crash servers; undefined for other calls. */
  readonly guarded: GuardedCall | undefined;
}

/** Sends the attempts of one call and records how they end. */
export class AttemptSender {
  readonly #options: AttemptSenderOptions;

  /** @param options - The call and the clients that send it. */
  constructor(options: AttemptSenderOptions) {
    this.#options = options;
  }

  /** Sends the call to a server; the signal cancels the attempt. */
  async send(
    server: BackendServerEntry,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const { serverStatistics: statistics, clock, log, call } = this.#options;
    const { identifier } = server;
    statistics.recordStart(identifier);
    const sentAt = clock.monotonic();
    const result = this.#watchStream(
      server,
      await this.#sendRequest(server, signal),
    );
    const milliseconds = clock.monotonic() - sentAt;
    statistics.recordEnd(identifier);
    if (result.kind === "streaming") call.onStreaming?.(server);
    const isServed = result.kind === "streaming" ||
      (result.kind === "complete" && result.status < 500);
    if (isServed) {
      statistics.recordSuccess(identifier, milliseconds);
      this.#options.hedgeTiming.record(call.route.name, milliseconds);
    } else if (signal.aborted) {
      statistics.recordMinimumDuration(identifier, milliseconds);
    } else if (result.kind !== "notRun" || !result.isRefused) {
      statistics.recordFailure(identifier);
      const reason = describeFailure(result);
      log.emit("attemptFailed", {
        request: call.request.identifier,
        server: identifier,
        reason,
      });
    }
    this.#logRefusal(server, result);
    await this.#options.guarded?.recordEnd(server, result);
    return result;
  }

  /**
   * Sends the call through another node, which counts its use and records where a stream began; the
   * signal cancels the attempt.
   */
  async relay(peer: Peer, signal: AbortSignal): Promise<AttemptResult> {
    const { callRelay, clock, hedgeTiming, deadline } = this.#options;
    const { request, relay, route } = this.#options.call;
    const sentAt = clock.monotonic();
    const answer = await callRelay.send(peer, {
      ...request,
      key: relay?.key,
      configurationVersion: relay?.configurationVersion ?? 0,
      budgetMilliseconds: deadline - sentAt,
    }, signal);
    const result = await toAttemptResult(answer, route.kind === "streaming");
    if (result.kind === "complete" && result.status < 500) {
      hedgeTiming.record(route.name, clock.monotonic() - sentAt);
    }
    return result;
  }

  #logRefusal({ identifier }: BackendServerEntry, result: AttemptResult): void {
    const { log, call } = this.#options;
    if (result.kind !== "notRun" || !result.isRefused) return;
    if (call.route.kind !== "nonIdempotent") return;
    log.emit("callNotRun", {
      request: call.request.identifier,
      server: identifier,
    });
  }

  #watchStream(
    server: BackendServerEntry,
    result: AttemptResult,
  ): AttemptResult {
    const { guarded } = this.#options;
    if (result.kind !== "streaming" || guarded === undefined) return result;
    const body = guarded.watchBody(server, result.answer.body);
    return { ...result, answer: { ...result.answer, body } };
  }

  async #sendRequest(
    server: BackendServerEntry,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const { client, clock, servers, call, deadline } = this.#options;
    const remaining = deadline - clock.monotonic();
    const answer = await client.open(
      server,
      {
        ...call.request,
        mayRunTwice: call.route.kind === "idempotent",
        budgetMilliseconds: remaining,
      },
      {
        signal,
        silenceMilliseconds: Math.max(1, remaining),
        mayStart: () =>
          servers.isServing(server.identifier) &&
          mayProcess(call.findAllowedRegions?.(), server),
      },
    );
    if (answer.kind === "answered" && answer.signature !== undefined) {
      call.onAnswered?.(answer.status);
    }
    return await toAttemptResult(answer, call.route.kind === "streaming");
  }
}
