import type { IncomingMessage, ServerResponse } from "node:http";
import {
  isCount,
  parseRecord,
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

/** A model engine that generates deterministic text. */
export class Engine {
  readonly #clock = new SystemClock();
  readonly #startIdentity: string;
  #options: EngineOptions;
  readonly #scheduler: BatchScheduler;
  readonly #cache: PrefixCache;
  readonly #cacheEvents: CacheEventLog;
  readonly #weights: WeightLoader;
  readonly #load: LaggingValue<Readonly<Record<string, unknown>>>;
  readonly #log = new RequestLog();
  #leaving = false;
  readonly #routes: Readonly<Record<string, RouteHandler>> = {
    "POST /v1/completions": (request, response) =>
      this.#complete(request, response),
    "GET /load": (_request, response) =>
      sendJson(response, 200, this.#load.get()),
    "GET /cache-events": (_request, response, url) =>
      this.#sendCacheEvents(response, url),
    "POST /orders": (request, response) => this.#order(request, response),
    "POST /leaving": (_request, response) => {
      this.leave();
      sendJson(response, 200, {});
    },
    "POST /behaviour": (request, response) =>
      this.#changeBehaviour(request, response),
    "GET /log": (_request, response) =>
      sendJson(response, 200, { requests: this.#log.entries() }),
  };

  /** @param options - How it behaves. */
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
      onSwap: () => this.#swap(),
    });
    this.#load = new LaggingValue({
      clock,
      lagMilliseconds: options.loadLagMilliseconds,
      read: () => this.#readLoad(),
    });
  }

  /** Generates until stopped. */
  async run(stopping: AbortSignal): Promise<void> {
    await Promise.all([
      this.#scheduler.run(stopping),
      this.#load.run(stopping),
    ]);
  }

  /** Changes behaviour. */
  behave(behaviour: EngineBehaviour): void {
    this.#options = { ...this.#options, ...behaviour };
  }

  /** Says in load reports that it is leaving. */
  leave(): void {
    this.#leaving = true;
  }

  /** Returns the requests seen. */
  log(): ReadonlyArray<Readonly<LoggedRequest>> {
    return this.#log.entries();
  }

  /** Serves one request. */
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

  async #complete(
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
      cachedTokens: this.#cache.use(body.cacheSalt, body.prompt),
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

  async #order(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = String(await readBody(request));
    this.#addToLog(request, text).finished = true;
    const record = parseRecord(text) ?? {};
    const version = record["version"];
    const fencingNumber = record["fencing_number"];
    if (!isCount(version) || !isCount(fencingNumber)) {
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

  async #changeBehaviour(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = String(await readBody(request));
    this.behave(parseRecord(text) ?? {});
    sendJson(response, 200, {});
  }

  #sendCacheEvents(response: ServerResponse, url: URL): void {
    const after = Number(url.searchParams.get("after") ?? 0);
    sendJson(response, 200, { events: this.#cacheEvents.after(after) });
  }

  #swap(): void {
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
    this.#log.add(entry);
    return entry;
  }
}
