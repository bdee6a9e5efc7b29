import { toFailureCause } from "../backends/http_exchange.ts";
import type { ServerRequest } from "../backends/server_client.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { AttemptResult } from "./attempt_result.ts";
import { toContentDigest } from "./content_digest.ts";
import type { CrashDetector } from "./crash_detector.ts";
import type { CrashRecords } from "./crash_records.ts";

/** Delay after which a call may return whose trial another call has. */
const TRIAL_RETRY_MILLISECONDS = 1000;

/** Whether a call may be sent to a server. */
export type CrashAdmission =
  | { readonly kind: "open" }
  | { readonly kind: "held"; readonly retryAfterMilliseconds: number };

/** Dependencies of a crash guard. */
export interface CrashGuardOptions {
  readonly log: EventLog;
  readonly detector: Pick<CrashDetector, "findFate">;
  readonly records: Pick<
    CrashRecords,
    | "size"
    | "decide"
    | "isSuspect"
    | "claimTrial"
    | "returnTrial"
    | "recordCrash"
    | "recordSuccess"
  >;
}

/** Keeps calls that crash servers from reaching one server after the other. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;

  /** @param options - The detector of crashes and the records of all nodes. */
  constructor(options: CrashGuardOptions) {
    this.#options = options;
  }

  /** Begins to watch the attempts of one call to a service. */
  watch(
    request: Omit<ServerRequest, "budgetMilliseconds">,
    service: string,
  ): GuardedCall {
    return new GuardedCall(this.#options, request, service);
  }
}

/** One call whose attempts are watched. */
export class GuardedCall {
  readonly #options: CrashGuardOptions;
  readonly #request: Omit<ServerRequest, "budgetMilliseconds">;
  #service: string;
  /** Time of the trial that the call has; undefined if it has none. */
  #triedAt: number | undefined;
  #computedContent: string | undefined;

  /**
   * @param options - The detector of crashes and the records of all nodes.
   * @param request - The request that the attempts send.
   * @param service - Service that the request is sent to.
   */
  constructor(
    options: CrashGuardOptions,
    request: Omit<ServerRequest, "budgetMilliseconds">,
    service: string,
  ) {
    this.#options = options;
    this.#request = request;
    this.#service = service;
  }

  /** Sends the call to another service from now on. */
  moveTo(service: string): void {
    this.#service = service;
  }

  /** Whether servers have ended under calls with the same content, so that it must not be hedged. */
  get isSuspect(): boolean {
    const { records } = this.#options;
    return records.size > 0 && records.isSuspect(this.#content);
  }

  /** Whether the call may be sent to another server after an attempt has failed. */
  get mayRepeat(): boolean {
    const { records } = this.#options;
    if (records.size === 0) return true;
    return this.#triedAt === undefined &&
      records.decide(this.#content, this.#service).kind === "send";
  }

  /** Returns how long the call must be held at present; undefined if it need not be. */
  findHold(): number | undefined {
    const { records } = this.#options;
    if (records.size === 0) return undefined;
    const decision = records.decide(this.#content, this.#service);
    return decision.kind === "reject"
      ? decision.retryAfterMilliseconds
      : undefined;
  }

  /** Decides whether the first attempt may start, and claims the trial of the content if it needs one. */
  async admit(): Promise<CrashAdmission> {
    const { records } = this.#options;
    if (records.size === 0) return { kind: "open" };
    const decision = records.decide(this.#content, this.#service);
    if (decision.kind === "send") return { kind: "open" };
    if (decision.kind === "reject") return { ...decision, kind: "held" };
    this.#triedAt = await records.claimTrial(this.#content);
    return this.#triedAt !== undefined ? { kind: "open" } : {
      kind: "held",
      retryAfterMilliseconds: TRIAL_RETRY_MILLISECONDS,
    };
  }

  /** Records what the end of an attempt says about the content. */
  async recordEnd(
    server: BackendServerEntry,
    result: AttemptResult,
  ): Promise<void> {
    const { detector, records, log } = this.#options;
    if (result.kind === "complete") this.recordSuccess();
    if (result.kind !== "failed" || result.cause !== "cut") return;
    const fate = await detector.findFate(server);
    // The connection was cut for another reason, so the trial shows nothing.
    if (fate === "running") this.returnTrial();
    if (fate !== "ended") return;
    log.emit("serverEndedDuringCall", {
      request: this.#request.identifier,
      content: this.#content,
      server: server.identifier,
    });
    records.recordCrash(this.#content, server);
  }

  /** Records that a server has answered the call completely. */
  recordSuccess(): void {
    if (this.isSuspect) this.#options.records.recordSuccess(this.#content);
  }

  /** Passes a streamed answer on, and records how it ends. */
  async *watchBody(
    server: BackendServerEntry,
    body: AsyncIterable<Buffer>,
  ): AsyncGenerator<Buffer> {
    try {
      yield* body;
    } catch (error) {
      const cause = toFailureCause(error);
      void this.recordEnd(server, {
        kind: "failed",
        reason: String(error),
        cause,
      });
      throw error;
    }
    this.recordSuccess();
  }

  /** Returns the trial, if the call has it, so that another call can be tried. */
  returnTrial(): void {
    if (this.#triedAt === undefined) return;
    this.#options.records.returnTrial(this.#content, this.#triedAt);
    this.#triedAt = undefined;
  }

  get #content(): string {
    this.#computedContent ??= toContentDigest(this.#request);
    return this.#computedContent;
  }
}
