import type { IncomingMessage, ServerResponse } from "node:http";
import {
  isNonNegativeInteger,
  parseJsonObject,
} from "../../source/backends/completion_event.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { BatchScheduler } from "./batch_scheduler.ts";
import { CacheEventLog } from "./cache_event_log.ts";
import { type CompletionBody, parseCompletionBody } from "./completion_body.ts";
import { CompletionStreamWriter } from "./completion_stream_writer.ts";
import type { EngineBehaviour, EngineOptions } from "./engine_options.ts";
import { LaggingValue } from "./lagging_value.ts";
import { PrefixCache } from "./prefix_cache.ts";
import { type LoggedRequest, RequestLog } from "./request_log.ts";
import { readBody, sendJson } from "../faults/faulty_http_server.ts";
import { WeightLoader } from "./weight_loader.ts";

type RouteHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
) => Promise<void> | void;

/** A simulated model engine that generates deterministic text. */
export class Engine {
  readonly #clock = new SystemClock();
  readonly #startIdentity: string;
  #options: EngineOptions;
  readonly #scheduler: BatchScheduler;
  readonly #cache: PrefixCache;
  readonly #cacheEvents: CacheEventLog;
  readonly #weights: WeightLoader;
  readonly #laggingLoad: LaggingValue<Readonly<Record<string, unknown>>>;
  readonly #requestLog = new RequestLog();
  #leaving = false;
  readonly #routes: Readonly<Record<string, RouteHandler>> = {
    "POST /v1/completions": (request, response) =>
      this.#handleCompletion(request, response),
    "GET /load": (_request, response) =>
      sendJson(response, 200, this.#laggingLoad.get()),
    "GET /cache-events": (_request, response, url) =>
      this.#sendCacheEvents(response, url),
    "POST /orders": (request, response) =>
      this.#handleLoadOrder(request, response),
    "POST /leaving": (_request, response) => {
      this.markLeaving();
      sendJson(response, 200, {});
    },
    "POST /behaviour": (request, response) =>
      this.#handleBehaviourRequest(request, response),
    "GET /log": (_request, response) =>
      sendJson(response, 200, { requests: this.#requestLog.entries() }),
  };

  /** @param options - Options of the engine, and the incarnation of its process. */
  constructor(options: EngineOptions & { readonly startIdentity: string }) {
    this.#options = options;
    this.#startIdentity = options.startIdentity;
    const clock = this.#clock;
    this.#scheduler = new BatchScheduler(clock, () => this.#options);
    this.#cacheEvents = new CacheEventLog({
      clock,
      random: createRandomSource(options.seed),
      lagMilliseconds: options.cacheEventLagMilliseconds,
      lossShare: options.cacheEventLossShare,
    });
    this.#cache = new PrefixCache({
      maximumTokens: options.prefixCacheTokens,
      onChange: (kind, digest) => this.#cacheEvents.add(kind, digest),
    });
    this.#weights = new WeightLoader(options.weightVersions, {
      behaviour: () => this.#options,
      onSwap: () => this.#handleWeightSwap(),
    });
    this.#laggingLoad = new LaggingValue({
      clock,
      lagMilliseconds: options.loadLagMilliseconds,
      read: () => this.#readLoad(),
    });
  }

  /** Runs the generation and the sampling of load reports until aborted. */
  async run(stopping: AbortSignal): Promise<void> {
    await Promise.all([
      this.#scheduler.run(stopping),
      this.#laggingLoad.run(stopping),
    ]);
  }

  /** Changes options while the engine runs. */
  changeBehaviour(behaviour: EngineBehaviour): void {
    this.#options = { ...this.#options, ...behaviour };
  }

  /** Makes load reports state that the engine will be stopped soon. */
  markLeaving(): void {
    this.#leaving = true;
  }

  /** Returns the requests received. */
  log(): ReadonlyArray<Readonly<LoggedRequest>> {
    return this.#requestLog.entries();
  }

  /** Handles a request, or sends status 404 for an unknown route. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://engine");
    const route = this.#routes[`${request.method} ${url.pathname}`];
    if (route === undefined) {
      sendJson(response, 404, { error: "unknown_route" });
      return;
    }
    await route(request, response, url);
  }

  async #handleCompletion(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = String(await readBody(request));
    const entry = this.#addToLog(request, text);
    const body = parseCompletionBody(text);
    const identifier = String(request.headers["x-request-id"] ?? "");
    response.setHeader("x-request-id", identifier);
    response.setHeader("x-engine-start", this.#startIdentity);
    if (this.#options.fastErrors) {
      sendJson(response, 500, { error: "internal" });
      return;
    }
    if (body === undefined) {
      sendJson(response, 400, { error: "invalid" });
      return;
    }
    if (this.#scheduler.waiting >= this.#options.maximumWaiting) {
      sendJson(response, 429, { error: "not_run" });
      return;
    }
    this.#generate(response, { body, identifier, entry });
  }

  #generate(
    response: ServerResponse,
    { body, identifier, entry }: {
      readonly body: CompletionBody;
      readonly identifier: string;
      readonly entry: LoggedRequest;
    },
  ): void {
    response.setHeader("content-type", "text/event-stream");
    response.writeHead(200);
    response.flushHeaders();
    const job = new CompletionStreamWriter(body, response, {
      requestIdentifier: identifier,
      cachedTokens: this.#cache.lookUpAndStore(body.cacheSalt, body.prompt),
      seed: this.#options.seed,
      variesLengths: this.#options.variesLengths,
      weightVersion: () => this.#weights.current,
      onFinished: () => {
        entry.finished = true;
      },
    });
    response.on("close", () => this.#scheduler.cancel(job));
    this.#scheduler.submit(job);
  }

  async #handleLoadOrder(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = String(await readBody(request));
    this.#addToLog(request, text).finished = true;
    const record = parseJsonObject(text) ?? {};
    const version = record["version"];
    const fencingNumber = record["fencing_number"];
    if (
      !isNonNegativeInteger(version) || !isNonNegativeInteger(fencingNumber)
    ) {
      sendJson(response, 400, { error: "invalid" });
      return;
    }
    const result = await this.#weights.load({
      version,
      fencingNumber,
      location: String(record["location"] ?? ""),
      idempotencyKey: String(record["idempotency_key"] ?? ""),
    });
    if (result.kind === "fenced") {
      sendJson(response, 409, { highest: result.highest });
    } else if (result.kind === "failed") {
      sendJson(response, 500, { error: "load_failed" });
    } else {
      sendJson(response, 200, { loaded: true, start: this.#startIdentity });
    }
  }

  async #handleBehaviourRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = String(await readBody(request));
    this.changeBehaviour(parseJsonObject(text) ?? {});
    sendJson(response, 200, {});
  }

  #sendCacheEvents(response: ServerResponse, url: URL): void {
    const after = Number(url.searchParams.get("after") ?? 0);
    sendJson(response, 200, {
      events: this.#cacheEvents.publishedAfter(after),
    });
  }

  #handleWeightSwap(): void {
    this.#scheduler.pause(this.#options.swapMilliseconds);
    this.#cache.clear();
  }

  #readLoad(): Readonly<Record<string, unknown>> {
    return {
      start: this.#startIdentity,
      running: this.#scheduler.running,
      waiting: this.#scheduler.waiting,
      ["cache_free_permille"]: this.#cache.freePermille(),
      ["weight_versions"]: this.#weights.versions,
      leaving: this.#leaving,
      ["tokens_per_second"]: this.#options.tokensPerSecond,
    };
  }

  #addToLog(request: IncomingMessage, body: string): LoggedRequest {
    const entry = {
      method: request.method ?? "",
      path: request.url ?? "",
      headers: request.headers,
      body,
      finished: false,
    };
    this.#requestLog.add(entry);
    return entry;
  }
}
