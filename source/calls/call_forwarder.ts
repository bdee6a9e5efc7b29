import type {
  ServerAnswer,
  ServerClient,
  ServerRequest,
} from "../backends/server_client.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import {
  pickService,
  type ServiceRoute,
} from "../installation/configuration.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { CallOutcome } from "./call_outcome.ts";
import type { ServerUse } from "./server_use.ts";
import { ENDED } from "../utilities/ended.ts";

/** Share of the latency target after which a second server is tried beside the first. */
const HEDGE_SHARE = 0.6;
/** Pause before servers are tried again that were all full. */
const FULL_PAUSE_MILLISECONDS = 20;
/** Share of the latency target for which a call waits for full servers before it is refused. */
const FULL_WAIT_SHARE = 0.5;
const RETRY_AFTER_MILLISECONDS = 150;
/** Longer answers are passed on as they come. */
const LARGEST_HELD_BYTES = 1024 * 1024;
/** Time left for the answer to reach the caller before it gives up. */
const ANSWER_MARGIN_MILLISECONDS = 15;

/** A call that is to be forwarded. */
export interface ForwardedCall {
  readonly request: Omit<ServerRequest, "budgetMilliseconds">;
  readonly route: ServiceRoute;
  /** When the caller gives up, on the monotonic clock. */
  readonly deadline: number;
  /** Aborted when the caller has left. */
  readonly signal: AbortSignal;
  /** Called with the status of each signed answer: its server has run the request. */
  readonly onAnswered?: (status: number) => void;
}

/** What a call forwarder works with. */
export interface CallForwarderOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly servers: ServerView;
  readonly client: ServerClient;
  readonly use: ServerUse;
}

type AttemptResult =
  | {
    readonly kind: "whole";
    readonly status: number;
    readonly answer: ServerAnswer;
    readonly body: Buffer;
  }
  | { readonly kind: "open"; readonly answer: ServerAnswer }
  | { readonly kind: "notRun"; readonly isFull: boolean }
  | { readonly kind: "failed"; readonly reason: string };

/**
 * Forwards calls to backend servers: chooses, tries again where that is allowed, and tries a
 * second server beside a slow one.
 */
export class CallForwarder {
  readonly #options: CallForwarderOptions;

  /** @param options - Servers and how they are reached. */
  constructor(options: CallForwarderOptions) {
    this.#options = options;
  }

  /**
   * Forwards one call.
   * @returns The answer; `refused` only when no server ran the request.
   */
  async forward(call: ForwardedCall): Promise<CallOutcome> {
    return await new CallRun(this.#options, call).run();
  }
}

class CallRun {
  readonly #options: CallForwarderOptions;
  readonly #call: ForwardedCall;
  readonly #service: string;
  readonly #startedAt: number;
  readonly #deadline: number;
  readonly #tried = new Set<string>();
  readonly #cancels = new Set<AbortController>();
  readonly #running = new Set<Promise<void>>();
  #results: AttemptResult[] = [];
  #mayHaveRun = 0;
  #lastFailure: AttemptResult | undefined;

  constructor(options: CallForwarderOptions, call: ForwardedCall) {
    this.#options = options;
    this.#call = call;
    this.#service = pickService(call.route, options.random.next());
    this.#startedAt = options.clock.monotonic();
    this.#deadline = Math.min(
      call.deadline - ANSWER_MARGIN_MILLISECONDS,
      this.#startedAt + call.route.timeoutMilliseconds,
    );
  }

  async run(): Promise<CallOutcome> {
    try {
      return await this.#untilDone();
    } finally {
      for (const cancel of this.#cancels) cancel.abort(ENDED);
    }
  }

  async #untilDone(): Promise<CallOutcome> {
    const { clock } = this.#options;
    let hedgeAt = this.#startAttempt();
    for (;;) {
      if (this.#call.signal.aborted) return { kind: "abandoned" };
      const done = this.#takeResult();
      if (done !== undefined) return done;
      const now = clock.monotonic();
      if (now >= this.#deadline) return this.#giveUp();
      if (this.#running.size === 0) {
        if (!this.#mayTryAgain()) return this.#giveUp();
        if (this.#needsPause()) await this.#sleep(FULL_PAUSE_MILLISECONDS);
        hedgeAt = this.#startAttempt();
      } else if (now >= hedgeAt) {
        hedgeAt = this.#mayHedge() ? this.#startAttempt() : Infinity;
      } else {
        await this.#sleep(Math.min(hedgeAt, this.#deadline) - now);
      }
    }
  }

  // Starts an attempt; returns when another server may be tried beside it.
  #startAttempt(): number {
    const { servers, use, clock } = this.#options;
    const all = servers.ofService(this.#service);
    const fresh = all.filter(({ identifier }) => !this.#tried.has(identifier));
    const server = use.pick(fresh.length > 0 ? fresh : all);
    if (server === undefined) {
      this.#results.push({ kind: "notRun", isFull: true });
      return Infinity;
    }
    this.#tried.add(server.identifier);
    this.#mayHaveRun += 1;
    const attempt = this.#attempt(server).then((result) => {
      this.#running.delete(attempt);
      if (result.kind === "notRun") this.#mayHaveRun -= 1;
      this.#results.push(result);
    });
    this.#running.add(attempt);
    const { latencyTargetMilliseconds } = this.#call.route;
    return clock.monotonic() + HEDGE_SHARE * latencyTargetMilliseconds;
  }

  #takeResult(): CallOutcome | undefined {
    const results = this.#results;
    this.#results = [];
    for (const result of results) {
      if (result.kind === "open") return this.#pass(result.answer);
      if (result.kind === "whole" && result.status < 500) {
        return toOutcome(result);
      }
      if (result.kind === "whole" || this.#lastFailure?.kind !== "whole") {
        this.#lastFailure = result;
      }
    }
    return undefined;
  }

  #pass(answer: ServerAnswer): CallOutcome {
    const { status, headers, body } = answer;
    // The stream runs on after this call has returned.
    const cancel = [...this.#cancels];
    this.#cancels.clear();
    const finish = (): void => cancel.forEach((other) => other.abort(ENDED));
    return { kind: "streaming", status, headers, body, finish };
  }

  #mayTryAgain(): boolean {
    const { route } = this.#call;
    if (this.#mayHaveRun === 0) return this.#isWaitingAllowed();
    return route.kind === "idempotent" &&
      this.#mayHaveRun < route.maximumAttempts;
  }

  #isWaitingAllowed(): boolean {
    const { latencyTargetMilliseconds } = this.#call.route;
    const waited = this.#options.clock.monotonic() - this.#startedAt;
    return waited < FULL_WAIT_SHARE * latencyTargetMilliseconds;
  }

  #mayHedge(): boolean {
    const { route } = this.#call;
    return route.kind === "idempotent" &&
      this.#mayHaveRun < route.maximumAttempts;
  }

  #needsPause(): boolean {
    const known = this.#options.servers.ofService(this.#service).length;
    return this.#tried.size >= known;
  }

  #giveUp(): CallOutcome {
    const last = this.#lastFailure;
    if (last?.kind === "whole") return toOutcome(last);
    if (this.#mayHaveRun === 0) {
      return {
        kind: "refused",
        refusal: "noServer",
        retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
      };
    }
    const reason = this.#running.size > 0 ? "timedOut" : "serverFailed";
    return { kind: "unknown", reason };
  }

  async #attempt(server: BackendServerEntry): Promise<AttemptResult> {
    const { use, clock, log } = this.#options;
    const { identifier } = server;
    const cancel = new AbortController();
    const onGone = (): void => cancel.abort(ENDED);
    this.#cancels.add(cancel);
    this.#call.signal.addEventListener("abort", onGone, { once: true });
    use.begin(identifier);
    const sentAt = clock.monotonic();
    const result = await this.#exchange(server, cancel.signal);
    const milliseconds = clock.monotonic() - sentAt;
    use.end(identifier);
    if (result.kind !== "open") {
      this.#cancels.delete(cancel);
      this.#call.signal.removeEventListener("abort", onGone);
    }
    const isServed = result.kind === "open" ||
      (result.kind === "whole" && result.status < 500);
    if (isServed) {
      use.noteSuccess(identifier, milliseconds);
    } else if (cancel.signal.aborted) use.noteSlow(identifier, milliseconds);
    else if (result.kind !== "notRun" || !result.isFull) {
      use.noteFailure(identifier);
      const reason = describeFailure(result);
      const { request } = this.#call;
      log.emit("attemptFailed", {
        request: request.identifier,
        server: identifier,
        reason,
      });
    }
    return result;
  }

  async #exchange(
    server: BackendServerEntry,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const { client, clock, servers } = this.#options;
    const left = this.#deadline - clock.monotonic();
    const answer = await client.open(
      server,
      { ...this.#call.request, budgetMilliseconds: left },
      {
        signal,
        silenceMilliseconds: Math.max(1, left),
        mayStart: () => servers.isServing(server.identifier),
      },
    );
    if (answer.kind !== "answered") {
      return answer.kind === "notRun"
        ? { kind: "notRun", isFull: answer.cause === "refused" }
        : { kind: "failed", reason: answer.reason };
    }
    if (answer.signature === undefined) {
      answer.abandon();
      return { kind: "failed", reason: "The answer bears no signature" };
    }
    this.#call.onAnswered?.(answer.status);
    if (this.#call.route.kind === "streaming") return { kind: "open", answer };
    return await readWhole(answer);
  }

  async #sleep(milliseconds: number): Promise<void> {
    const wake = new AbortController();
    const { signal } = this.#call;
    const onGone = (): void => wake.abort(ENDED);
    signal.addEventListener("abort", onGone, { once: true });
    await Promise.race([
      ...this.#running,
      this.#options.clock.sleep(Math.max(1, milliseconds), wake.signal),
    ]);
    signal.removeEventListener("abort", onGone);
    wake.abort(ENDED);
  }
}

async function readWhole(answer: ServerAnswer): Promise<AttemptResult> {
  const chunks: Buffer[] = [];
  const iterator = answer.body[Symbol.asyncIterator]();
  let bytes = 0;
  try {
    for (;;) {
      const next = await iterator.next();
      if (next.done === true) break;
      chunks.push(next.value);
      bytes += next.value.length;
      if (bytes > LARGEST_HELD_BYTES) {
        const body = continueBody(chunks, iterator);
        return { kind: "open", answer: { ...answer, body } };
      }
    }
  } catch (error) {
    return { kind: "failed", reason: `Answer cut: ${String(error)}` };
  }
  const body = Buffer.concat(chunks);
  return { kind: "whole", status: answer.status, answer, body };
}

async function* continueBody(
  chunks: ReadonlyArray<Buffer>,
  rest: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  yield* chunks;
  yield* { [Symbol.asyncIterator]: () => rest };
}

function toOutcome(
  result: Extract<AttemptResult, { kind: "whole" }>,
): CallOutcome {
  const { status, body, answer } = result;
  return { kind: "answered", status, headers: answer.headers, body };
}

function describeFailure(result: AttemptResult): string {
  if (result.kind === "failed") return result.reason;
  return result.kind === "whole" ? `status ${result.status}` : "not reached";
}
