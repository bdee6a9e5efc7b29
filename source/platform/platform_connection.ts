import { type Dispatcher, Pool } from "undici";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { PlatformFailure, PlatformOutcome } from "./platform_outcome.ts";
import type { PlatformSilence } from "./platform_silence.ts";
import type { SendGuard } from "./send_guard.ts";
import { ENDED } from "../utilities/ended.ts";

const MAXIMUM_CONNECTIONS = 16;
const MAXIMUM_WAITING_CALLS = 512;
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;
const REQUEST_IDENTIFIER_HEADER = "x-request-id";

/** Address of the platform and time limits of the calls to it. */
export interface PlatformConnectionOptions {
  /** http://HOST:PORT. */
  readonly address: string;
  readonly clock: Clock;
  /**
   * Time limit for connecting, and also the time without a received byte, from the start of the
   * request, after which a call is aborted and the connection pool is replaced.
   */
  readonly silenceMilliseconds: number;
  /** Time limit of a call, including its wait for a free connection. */
  readonly timeoutMilliseconds: number;
  /**
   * Log for timeouts and for answers that don't carry the identifier of their call; nothing is
   * logged when absent.
   */
  readonly log?: EventLog;
  /**
   * What all connections to the platform know of an outage; without it, lost calls end at their time
   * limit.
   */
  readonly silence?: PlatformSilence;
  /** Whether an answer repeats the identifier of its call; true when absent. */
  readonly echoesIdentifier?: boolean;
}

/** One call to the platform. */
export interface PlatformCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** Path and query, encoded. */
  readonly path: string;
  readonly body?: string | Uint8Array;
  /** Headers in addition to those of every call. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Called in the tick that writes the first byte; false ends the call as `notRun`. */
  readonly guard?: SendGuard;
  /**
   * Time for which the platform may hold a long-polling call before it answers; it is added to both
   * time limits of the call; 0 when absent.
   */
  readonly longPollMilliseconds?: number;
}

/** A complete answer of the platform. */
export interface PlatformHttpAnswer {
  readonly status: number;
  /** Value of the header `content-digest`; empty when the answer has none. */
  readonly digest: string;
  readonly body: Buffer;
}

interface Exchange {
  readonly identifier: string;
  /** Path without its query. */
  readonly path: string;
  readonly pool: Pool;
  readonly settle: (outcome: PlatformOutcome<PlatformHttpAnswer>) => void;
  readonly finished: AbortSignal;
  readonly chunks: Buffer[];
  /** Monotonic time, in milliseconds, at which the call was made. */
  readonly startedAt: number;
  controller: Dispatcher.DispatchController | undefined;
  bytes: number;
  status: number;
  digest: string;
  echoedIdentifier: string;
  /**
   * Monotonic time, in milliseconds, at which the request started or the latest part of the answer
   * arrived; 0 before the start.
   */
  lastActivityAt: number;
}

/**
 * Pool of connections to the platform, with limits on connections and waiting calls. When a call
 * times out, or its answer doesn't carry its identifier, the pool is replaced: later calls use new
 * connections, and the old connections close once the calls on them have ended.
 * @example
 * ```ts
 * const connection = new PlatformConnection({
 *   address: "http://127.0.0.1:7000",
 *   clock: new SystemClock(),
 *   silenceMilliseconds: 1000,
 *   timeoutMilliseconds: 3000,
 * });
 * const outcome = await connection.call({ method: "GET", path: "/instances" });
 * ```
 */
export class PlatformConnection {
  readonly #options: PlatformConnectionOptions;
  #pool: Pool;
  #unfinishedCalls = 0;
  #callCount = 0;

  /** @param options - Address and limits. */
  constructor(options: PlatformConnectionOptions) {
    this.#options = options;
    this.#pool = this.#createPool();
  }

  /**
   * Makes one call without retries.
   * @returns The answer; `notRun` when no byte was handed to a socket, else `unknown`.
   */
  async call(call: PlatformCall): Promise<PlatformOutcome<PlatformHttpAnswer>> {
    if (this.#unfinishedCalls >= MAXIMUM_CONNECTIONS + MAXIMUM_WAITING_CALLS) {
      return { kind: "notRun", reason: "Too many calls are waiting" };
    }
    this.#unfinishedCalls += 1;
    try {
      return await this.#exchange(call);
    } finally {
      this.#unfinishedCalls -= 1;
    }
  }

  /**
   * Replaces the connections after an answer that belongs to another call; calls that run on the old
   * ones go on.
   * @param path - Path of the call, for the log.
   */
  replaceConnections(path: string): void {
    this.#options.log?.emit("platformAnswerMismatched", { path });
    this.#replacePool(this.#pool);
  }

  /**
   * Closes the connections of the current pool; unfinished calls on them end as failures. Calls on
   * a replaced pool go on until they end or time out.
   */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #exchange(
    call: PlatformCall,
  ): Promise<PlatformOutcome<PlatformHttpAnswer>> {
    const finish = new AbortController();
    this.#callCount += 1;
    const identifier = String(this.#callCount);
    const outcome = await new Promise<PlatformOutcome<PlatformHttpAnswer>>(
      (resolve) => {
        const exchange: Exchange = {
          identifier,
          path: call.path.split("?")[0] ?? "",
          pool: this.#pool,
          settle: resolve,
          finished: finish.signal,
          chunks: [],
          startedAt: this.#options.clock.monotonic(),
          controller: undefined,
          bytes: 0,
          status: 0,
          digest: "",
          echoedIdentifier: "",
          lastActivityAt: 0,
        };
        this.#dispatch(exchange, call);
        this.#watchForReturn(exchange, call);
        void this.#enforceTimeLimits(exchange, call.longPollMilliseconds ?? 0);
      },
    );
    finish.abort(ENDED);
    return outcome;
  }

  #dispatch(exchange: Exchange, call: PlatformCall): void {
    const headers = {
      [REQUEST_IDENTIFIER_HEADER]: exchange.identifier,
      "content-type": typeof call.body === "string"
        ? "application/json"
        : "application/octet-stream",
      ...call.headers,
    };
    exchange.pool.dispatch(
      {
        method: call.method,
        path: call.path,
        headers,
        body: call.body ?? null,
      },
      this.#createHandler(exchange, call.guard ?? alwaysAllow),
    );
  }

  #createHandler(
    exchange: Exchange,
    guard: SendGuard,
  ): Dispatcher.DispatchHandler {
    const { clock } = this.#options;
    return {
      onRequestStart(controller): void {
        if (exchange.finished.aborted) {
          controller.abort(new Error("The call has already ended"));
          return;
        }
        if (!guard()) {
          controller.abort(new Error("The guard no longer allows the call"));
          return;
        }
        exchange.controller = controller;
        exchange.lastActivityAt = clock.monotonic();
      },
      onResponseStart(_controller, status, headers): void {
        exchange.lastActivityAt = clock.monotonic();
        exchange.status = status;
        exchange.digest = String(headers["content-digest"] ?? "");
        exchange.echoedIdentifier = String(
          headers[REQUEST_IDENTIFIER_HEADER] ?? "",
        );
      },
      onResponseData(controller, chunk): void {
        exchange.lastActivityAt = clock.monotonic();
        exchange.bytes += chunk.length;
        exchange.chunks.push(chunk);
        if (exchange.bytes > MAXIMUM_ANSWER_BYTES) {
          controller.abort(new Error("The answer is too large"));
        }
      },
      onResponseEnd: () => this.#complete(exchange),
      onResponseError: (_controller, error) => {
        this.#recordSlowFailure(exchange);
        failExchange(exchange, error.message);
      },
    };
  }

  #complete(exchange: Exchange): void {
    const { echoesIdentifier } = this.#options;
    const isMismatched = exchange.echoedIdentifier !== exchange.identifier;
    if (isMismatched && (echoesIdentifier ?? true)) {
      this.#replacePool(exchange.pool);
      const { path } = exchange;
      this.#options.log?.emit("platformAnswerMismatched", { path });
      failExchange(exchange, "The answer belongs to another call");
      return;
    }
    this.#options.silence?.recordAnswer(exchange);
    const body = Buffer.concat(exchange.chunks);
    const { status, digest } = exchange;
    exchange.settle({ kind: "ok", value: { status, digest, body } });
  }

  #watchForReturn(
    exchange: Exchange,
    { longPollMilliseconds = 0 }: PlatformCall,
  ): void {
    const remove = this.#options.silence?.add({
      startedAt: exchange.startedAt,
      isHeld: longPollMilliseconds > 0,
      get isAnswered(): boolean {
        return exchange.status !== 0;
      },
      giveUp: () => this.#abandon(exchange, "a later call was answered"),
    });
    if (remove === undefined) return;
    exchange.finished.addEventListener("abort", remove, { once: true });
  }

  async #enforceTimeLimits(
    exchange: Exchange,
    longPollMilliseconds: number,
  ): Promise<void> {
    const { clock } = this.#options;
    const silenceMilliseconds = this.#options.silenceMilliseconds +
      longPollMilliseconds;
    const deadline = clock.monotonic() + this.#options.timeoutMilliseconds +
      longPollMilliseconds;
    while (!exchange.finished.aborted) {
      const now = clock.monotonic();
      const silenceDeadline = exchange.controller === undefined
        ? Infinity
        : exchange.lastActivityAt + silenceMilliseconds;
      if (now >= silenceDeadline) {
        return this.#timeOut(exchange, "no byte received");
      }
      if (now >= deadline) return this.#timeOut(exchange, "timeout");
      const wakeAt = Math.min(
        silenceDeadline,
        deadline,
        now + silenceMilliseconds,
      );
      await clock.sleep(wakeAt - now, exchange.finished);
    }
  }

  // A connection that is not established within the time limit is a sign of an outage too.
  #recordSlowFailure({ startedAt, finished }: Exchange): void {
    const { clock, silenceMilliseconds, silence } = this.#options;
    if (finished.aborted) return;
    if (clock.monotonic() - startedAt >= silenceMilliseconds) {
      silence?.recordSilence();
    }
  }

  #timeOut(exchange: Exchange, reason: string): void {
    this.#options.silence?.recordSilence();
    this.#abandon(exchange, reason);
  }

  #abandon(exchange: Exchange, reason: string): void {
    this.#replacePool(exchange.pool);
    const { path } = exchange;
    this.#options.log?.emit("platformSilent", { path, reason });
    failExchange(exchange, `Call aborted: ${reason}`);
    exchange.controller?.abort(new Error(reason));
  }

  #replacePool(retired: Pool): void {
    if (this.#pool !== retired) return;
    this.#pool = this.#createPool();
    retired.close().catch(() => {});
  }

  #createPool(): Pool {
    return new Pool(this.#options.address, {
      connections: MAXIMUM_CONNECTIONS,
      pipelining: 1,
      connect: { timeout: this.#options.silenceMilliseconds },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}

function alwaysAllow(): boolean {
  return true;
}

function failExchange(exchange: Exchange, reason: string): void {
  const kind: PlatformFailure["kind"] = exchange.controller === undefined
    ? "notRun"
    : "unknown";
  exchange.settle({ kind, reason });
}
