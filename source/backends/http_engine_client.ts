import type { Clock } from "../utilities/clock.ts";
import { isCount, parseRecord } from "./completion_event.ts";
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

/** Header that carries the identity of a request both ways. */
export const REQUEST_IDENTIFIER_HEADER = "x-request-id";
/** Header in which an engine tells the identity of its process. */
export const ENGINE_START_HEADER = "x-engine-start";

const NOT_RUN_STATUSES: ReadonlyArray<number> = [429, 503];
const NOT_RUN_ERROR = "not_run";

/** What an engine client needs. */
export interface HttpEngineClientOptions {
  readonly clock: Clock;
  /** Connections; own ones when absent. */
  readonly pools?: ConnectionPools;
}

/** What a completion's exchange is given. */
export type CompletionOptions = ExchangeOptions & {
  readonly onTokens: (tokens: EngineTokens) => void;
  /** Whether to use no connection that served another request. */
  readonly newConnection?: boolean;
  /** Called when the head of the engine's answer has come. */
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

  /** @param options - Clock and connections. */
  constructor(options: HttpEngineClientOptions) {
    this.#context = {
      clock: options.clock,
      pools: options.pools ?? new ConnectionPools(),
    };
  }

  /**
   * Runs a completion.
   * @param address - HOST:PORT of the engine.
   * @param request - The completion.
   * @param options - Bounds, and what gets the tokens.
   * @returns `notRun`, `unknown`, or the whole completion's end.
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
      body: JSON.stringify(toBody(request)),
      newConnection: options.newConnection ?? false,
    }, options);
    if (answer.kind !== "answered") return answer;
    if (answer.status !== 200) return await readRefusal(answer);
    options.onHead?.();
    return await readCompletion(answer, request, options);
  }

  /**
   * Reads the reported load.
   * @param address - HOST:PORT of the engine.
   * @param options - Bounds.
   * @returns The load; undefined when the engine did not answer understandably.
   */
  async load(
    address: string,
    options: ExchangeOptions,
  ): Promise<EngineLoad | undefined> {
    const text = await this.#read(address, "/load", options);
    return text === undefined ? undefined : parseEngineLoad(text);
  }

  /**
   * Reads cache events after a sequence number.
   * @param address - HOST:PORT of the engine.
   * @param options - Bounds, and the sequence number.
   * @returns The events; undefined when the engine did not answer understandably.
   */
  async cacheEvents(
    address: string,
    options: ExchangeOptions & { readonly after: number },
  ): Promise<ReadonlyArray<CacheEvent> | undefined> {
    const path = `/cache-events?after=${options.after}`;
    const text = await this.#read(address, path, options);
    return text === undefined ? undefined : parseCacheEvents(text);
  }

  /**
   * Orders an engine to load a weight version.
   * @param address - HOST:PORT of the engine.
   * @param order - The order with its fencing number.
   * @param options - Bounds.
   * @returns What became of the order.
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

  /** Cuts all connections. */
  async close(): Promise<void> {
    await this.#context.pools.close();
  }

  async #read(
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

function toBody(request: EngineRequest): Readonly<Record<string, unknown>> {
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
    return untrusted(`Answer belongs to request ${echoed}`);
  }
  if (typeof startIdentity !== "string" || startIdentity === "") {
    answer.abandon();
    return untrusted("Answer names no engine start");
  }
  return await readCompletionStream(answer, {
    requestIdentifier: request.requestIdentifier,
    startIdentity,
    maximumTokens: request.maximumTokens,
    onTokens: options.onTokens,
  });
}

async function readRefusal(answer: ExchangeAnswer): Promise<ExchangeFailure> {
  const text = await readText(answer);
  const reason = `Engine answered status ${answer.status}`;
  const refused = NOT_RUN_STATUSES.includes(answer.status) &&
    text !== undefined && parseRecord(text)?.["error"] === NOT_RUN_ERROR;
  return refused
    ? { kind: "notRun", reason, cause: "refused" }
    : { kind: "unknown", reason, cause: "status" };
}

function untrusted(reason: string): ExchangeFailure {
  return { kind: "unknown", reason, cause: "untrusted" };
}

function toOrderOutcome(
  status: number,
  text: string | undefined,
): EngineOrderOutcome {
  const record = text === undefined ? undefined : parseRecord(text);
  if (record === undefined) {
    return { kind: "unknown", reason: `Order's answer ${status} was cut` };
  }
  const start = record["start"];
  if (status === 200 && record["loaded"] === true) {
    if (typeof start === "string") {
      return { kind: "done", startIdentity: start };
    }
    return { kind: "unknown", reason: "Order's answer names no engine start" };
  }
  const highest = record["highest"];
  if (status === 409 && isCount(highest)) return { kind: "fenced", highest };
  if (NOT_RUN_STATUSES.includes(status) && record["error"] === NOT_RUN_ERROR) {
    return { kind: "notRun", reason: `Engine answered status ${status}` };
  }
  return { kind: "failed", reason: `Engine answered status ${status}` };
}
