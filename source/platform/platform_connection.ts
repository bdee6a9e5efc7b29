import { type Dispatcher, Pool } from "undici";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { PlatformFailure, PlatformOutcome } from "./platform_outcome.ts";
import type { SendGuard } from "./send_guard.ts";
import { ENDED } from "../utilities/ended.ts";

const MAXIMUM_CONNECTIONS = 16;
const MAXIMUM_WAITING_CALLS = 512;
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;
const REQUEST_IDENTIFIER_HEADER = "x-request-id";

/** How calls to the platform are bounded. */
export interface PlatformConnectionOptions {
  /** http://HOST:PORT. */
  readonly address: string;
  readonly clock: Clock;
  /** Closes the connection when no byte came for so long. */
  readonly silenceMilliseconds: number;
  /** Bound on a call, its wait for a free connection included. */
  readonly timeoutMilliseconds: number;
  /** Where silent connections and foreign answers are noted; nowhere when absent. */
  readonly log?: EventLog;
  /** Whether answers carry the identifier of their call; true when absent. */
  readonly echoesIdentifier?: boolean;
}

/** One call to the platform. */
export interface PlatformCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** Path and query, encoded. */
  readonly path: string;
  readonly body?: string | Uint8Array;
  /** Headers beyond those of every call. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Must still hold when the first byte leaves. */
  readonly guard?: SendGuard;
  /** How long the platform may keep the call waiting before it answers; 0 when absent. */
  readonly heldMilliseconds?: number;
}

/** An answer of the platform, read whole. */
export interface PlatformHttpAnswer {
  readonly status: number;
  /** Value of the header `content-digest`; empty without one. */
  readonly digest: string;
  readonly body: Buffer;
}

interface Exchange {
  readonly identifier: string;
  /** Path without its query. */
  readonly path: string;
  readonly pool: Pool;
  readonly done: (outcome: PlatformOutcome<PlatformHttpAnswer>) => void;
  readonly finished: AbortSignal;
  readonly chunks: Buffer[];
  controller: Dispatcher.DispatchController | undefined;
  bytes: number;
  status: number;
  digest: string;
  answeredIdentifier: string;
  lastByteAt: number;
}

/**
 * Bounded connections to the platform. A connection that falls silent is closed,
 * and so is every other one that was open then: later calls use new connections.
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
  #running = 0;
  #calls = 0;

  /** @param options - Address and bounds. */
  constructor(options: PlatformConnectionOptions) {
    this.#options = options;
    this.#pool = this.#createPool();
  }

  /**
   * Makes one call. It is never repeated here.
   * @returns The answer; `notRun` when no byte was handed to a socket, else `unknown`.
   */
  async call(call: PlatformCall): Promise<PlatformOutcome<PlatformHttpAnswer>> {
    if (this.#running >= MAXIMUM_CONNECTIONS + MAXIMUM_WAITING_CALLS) {
      return { kind: "notRun", reason: "Too many calls are waiting" };
    }
    this.#running += 1;
    try {
      return await this.#exchange(call);
    } finally {
      this.#running -= 1;
    }
  }

  /** Closes all connections; calls under way end as failures. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #exchange(
    call: PlatformCall,
  ): Promise<PlatformOutcome<PlatformHttpAnswer>> {
    const finish = new AbortController();
    this.#calls += 1;
    const identifier = String(this.#calls);
    const outcome = await new Promise<PlatformOutcome<PlatformHttpAnswer>>(
      (resolve) => {
        const exchange: Exchange = {
          identifier,
          path: call.path.split("?")[0] ?? "",
          pool: this.#pool,
          done: resolve,
          finished: finish.signal,
          chunks: [],
          controller: undefined,
          bytes: 0,
          status: 0,
          digest: "",
          answeredIdentifier: "",
          lastByteAt: 0,
        };
        this.#dispatch(exchange, call);
        void this.#limit(exchange, call.heldMilliseconds ?? 0);
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
          controller.abort(new Error("The call was given up"));
          return;
        }
        if (!guard()) {
          controller.abort(new Error("The call may no longer be sent"));
          return;
        }
        exchange.controller = controller;
        exchange.lastByteAt = clock.monotonic();
      },
      onResponseStart(_controller, status, headers): void {
        exchange.lastByteAt = clock.monotonic();
        exchange.status = status;
        exchange.digest = String(headers["content-digest"] ?? "");
        exchange.answeredIdentifier = String(
          headers[REQUEST_IDENTIFIER_HEADER] ?? "",
        );
      },
      onResponseData(controller, chunk): void {
        exchange.lastByteAt = clock.monotonic();
        exchange.bytes += chunk.length;
        exchange.chunks.push(chunk);
        if (exchange.bytes > MAXIMUM_ANSWER_BYTES) {
          controller.abort(new Error("The answer is too large"));
        }
      },
      onResponseEnd: () => this.#end(exchange),
      onResponseError: (_controller, error) => fail(exchange, error.message),
    };
  }

  #end(exchange: Exchange): void {
    const { echoesIdentifier } = this.#options;
    const isForeign = exchange.answeredIdentifier !== exchange.identifier;
    if (isForeign && (echoesIdentifier ?? true)) {
      this.#replacePool(exchange.pool);
      const { path } = exchange;
      this.#options.log?.emit("platformAnswerMismatched", { path });
      fail(exchange, "The answer belongs to another call");
      return;
    }
    const body = Buffer.concat(exchange.chunks);
    const { status, digest } = exchange;
    exchange.done({ kind: "ok", value: { status, digest, body } });
  }

  async #limit(exchange: Exchange, heldMilliseconds: number): Promise<void> {
    const { clock } = this.#options;
    const silenceMilliseconds = this.#options.silenceMilliseconds +
      heldMilliseconds;
    const deadline = clock.monotonic() + this.#options.timeoutMilliseconds +
      heldMilliseconds;
    while (!exchange.finished.aborted) {
      const now = clock.monotonic();
      const silentAt = exchange.controller === undefined
        ? Infinity
        : exchange.lastByteAt + silenceMilliseconds;
      if (now >= silentAt) return this.#giveUp(exchange, "silent connection");
      if (now >= deadline) return this.#giveUp(exchange, "timeout");
      const wait = Math.min(silentAt, deadline, now + silenceMilliseconds);
      await clock.sleep(wait - now, exchange.finished);
    }
  }

  #giveUp(exchange: Exchange, reason: string): void {
    this.#replacePool(exchange.pool);
    const { path } = exchange;
    this.#options.log?.emit("platformSilent", { path, reason });
    fail(exchange, `Given up: ${reason}`);
    exchange.controller?.abort(new Error(reason));
  }

  #replacePool(silent: Pool): void {
    if (this.#pool !== silent) return;
    this.#pool = this.#createPool();
    silent.close().catch(() => {});
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

function fail(exchange: Exchange, reason: string): void {
  const kind: PlatformFailure["kind"] = exchange.controller === undefined
    ? "notRun"
    : "unknown";
  exchange.done({ kind, reason });
}
