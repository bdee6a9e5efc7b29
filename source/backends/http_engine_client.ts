import type { Clock } from "../utilities/clock.ts";
import { isNonNegativeInteger, parseJsonObject } from "./completion_event.ts";
import { readCompletionStream } from "./completion_stream.ts";
import { ConnectionPools } from "./connection_pools.ts";
import type {
  CacheEvent,
  EngineClient,
  EngineLoad,
  EngineOrderOutcome,
  EngineOutcome,
  EngineRequest,
  EngineTokens,
  ExchangeOptions,
  LoadVersionOrder,
} from "./engine_client.ts";
import { parseCacheEvents, parseEngineLoad } from "./engine_reports.ts";
import {
  type ExchangeAnswer,
  type ExchangeFailure,
  openExchange,
} from "./http_exchange.ts";
import { readText } from "./read_text.ts";

/** Header with the identifier of a request, in the request and in its answer. */
export const REQUEST_IDENTIFIER_HEADER = "x-request-id";
/** Header in which an engine names the incarnation of its process. */
export const ENGINE_START_HEADER = "x-engine-start";

const NOT_RUN_STATUSES: ReadonlyArray<number> = [429, 503];
const NOT_RUN_ERROR = "not_run";

/** Dependencies of an engine client. */
export interface HttpEngineClientOptions {
  readonly clock: Clock;
  /** Connection pools; the client creates its own when absent. */
  readonly pools?: ConnectionPools;
}

/** Limits and callbacks of a completion. */
export type CompletionOptions = ExchangeOptions & {
  readonly onTokens: (tokens: EngineTokens) => void;
  /** Whether the request must open a new connection. */
  readonly newConnection?: boolean;
  /** Called when the head of the engine's answer has arrived. */
  readonly onHead?: () => void;
};

/**
 * Client of model engines over HTTP/1.1, JSON and server-sent events.
 * @example
 * ```ts
 * const client = new HttpEngineClient({ clock: new SystemClock() });
 * const outcome = await client.complete("127.0.0.1:8000", request, options);
 * ```
 */
export class HttpEngineClient implements EngineClient {
  readonly #context: { readonly pools: ConnectionPools; readonly clock: Clock };

  /** @param options - Clock and connection pools. */
  constructor(options: HttpEngineClientOptions) {
    this.#context = {
      clock: options.clock,
      pools: options.pools ?? new ConnectionPools(),
    };
  }

  /**
   * Runs a completion.
   * @param address - HOST:PORT of the engine.
   * @param request - Completion to run.
   * @param options - Limits, and the receiver of the tokens.
   * @returns `finished` for a complete stream, else `notRun` or `unknown`.
   */
  async complete(
    address: string,
    request: EngineRequest,
    options: CompletionOptions,
  ): Promise<EngineOutcome> {
    const answer = await openExchange(this.#context, {
      address,
      method: "POST",
      path: "/v1/completions",
      headers: {
        "content-type": "application/json",
        "accept": "text/event-stream",
        [REQUEST_IDENTIFIER_HEADER]: request.requestIdentifier,
      },
      body: JSON.stringify(toRequestBody(request)),
      newConnection: options.newConnection ?? false,
    }, options);
    if (answer.kind !== "answered") return answer;
    if (answer.status !== 200) return await readErrorAnswer(answer);
    options.onHead?.();
    return await readCompletion(answer, request, options);
  }

  /**
   * Reads the reported load.
   * @param address - HOST:PORT of the engine.
   * @param options - Limits of the exchange.
   * @returns The load; undefined when the engine returned no valid answer.
   */
  async readLoad(
    address: string,
    options: ExchangeOptions,
  ): Promise<EngineLoad | undefined> {
    const text = await this.#fetchText(address, "/load", options);
    return text === undefined ? undefined : parseEngineLoad(text);
  }

  /**
   * Reads cache events after a sequence number.
   * @param address - HOST:PORT of the engine.
   * @param options - Limits of the exchange, and the sequence number.
   * @returns The events; undefined when the engine returned no valid answer.
   */
  async readCacheEvents(
    address: string,
    options: ExchangeOptions & { readonly after: number },
  ): Promise<ReadonlyArray<CacheEvent> | undefined> {
    const path = `/cache-events?after=${options.after}`;
    const text = await this.#fetchText(address, path, options);
    return text === undefined ? undefined : parseCacheEvents(text);
  }

  /**
   * Orders an engine to load a weight version.
   * @param address - HOST:PORT of the engine.
   * @param order - Order with its fencing number.
   * @param options - Limits of the exchange.
   * @returns The outcome of the order.
   */
  async loadVersion(
    address: string,
    order: LoadVersionOrder,
    options: ExchangeOptions,
  ): Promise<EngineOrderOutcome> {
    const answer = await openExchange(this.#context, {
      address,
      method: "POST",
      path: "/orders",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        operation: "load_version",
        version: order.version,
        location: order.location,
        fencing_number: order.fencingNumber,
        idempotency_key: order.idempotencyKey,
      }),
      newConnection: true,
    }, options);
    if (answer.kind !== "answered") return answer;
    return toOrderOutcome(answer.status, await readText(answer));
  }

  /** Closes all connections and aborts the requests that run on them. */
  async close(): Promise<void> {
    await this.#context.pools.close();
  }

  async #fetchText(
    address: string,
    path: string,
    options: ExchangeOptions,
  ): Promise<string | undefined> {
    const request = { address, method: "GET", path, headers: {} };
    const answer = await openExchange(this.#context, request, options);
    if (answer.kind !== "answered") return undefined;
    const text = await readText(answer);
    return answer.status === 200 ? text : undefined;
  }
}

function toRequestBody(
  request: EngineRequest,
): Readonly<Record<string, unknown>> {
  return {
    model: request.model ?? "default",
    prompt: request.prompt,
    max_tokens: request.maximumTokens,
    stream: true,
    priority: request.priority,
    cache_salt: request.cacheSalt,
    resume_text: request.resumeText,
  };
}

async function readCompletion(
  answer: ExchangeAnswer,
  request: EngineRequest,
  options: CompletionOptions,
): Promise<EngineOutcome> {
  const echoed = answer.headers[REQUEST_IDENTIFIER_HEADER];
  const startIdentity = answer.headers[ENGINE_START_HEADER];
  if (echoed !== request.requestIdentifier) {
    answer.abandon();
    return createUntrustedFailure(`Answer belongs to request ${echoed}`);
  }
  if (typeof startIdentity !== "string" || startIdentity === "") {
    answer.abandon();
    return createUntrustedFailure(
      "Answer does not name the engine's incarnation",
    );
  }
  return await readCompletionStream(answer, {
    requestIdentifier: request.requestIdentifier,
    startIdentity,
    maximumTokens: request.maximumTokens,
    onTokens: options.onTokens,
  });
}

async function readErrorAnswer(
  answer: ExchangeAnswer,
): Promise<ExchangeFailure> {
  const text = await readText(answer);
  const reason = `Engine answered with status ${answer.status}`;
  const didNotRun = NOT_RUN_STATUSES.includes(answer.status) &&
    text !== undefined && parseJsonObject(text)?.["error"] === NOT_RUN_ERROR;
  return didNotRun
    ? { kind: "notRun", reason, cause: "refused" }
    : { kind: "unknown", reason, cause: "status" };
}

function createUntrustedFailure(reason: string): ExchangeFailure {
  return { kind: "unknown", reason, cause: "untrusted" };
}

function toOrderOutcome(
  status: number,
  text: string | undefined,
): EngineOrderOutcome {
  const record = text === undefined ? undefined : parseJsonObject(text);
  if (record === undefined) {
    return {
      kind: "unknown",
      reason: `Answer to the order, status ${status}, is incomplete`,
    };
  }
  const start = record["start"];
  if (status === 200 && record["loaded"] === true) {
    if (typeof start === "string") {
      return { kind: "done", startIdentity: start };
    }
    return {
      kind: "unknown",
      reason: "Answer to the order does not name the engine's incarnation",
    };
  }
  const highest = record["highest"];
  if (status === 409 && isNonNegativeInteger(highest)) {
    return { kind: "fenced", highest };
  }
  if (NOT_RUN_STATUSES.includes(status) && record["error"] === NOT_RUN_ERROR) {
    return { kind: "notRun", reason: `Engine answered with status ${status}` };
  }
  return { kind: "failed", reason: `Engine answered with status ${status}` };
}
