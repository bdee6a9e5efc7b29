import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import type { KeyDirectory } from "../keys/key_directory.ts";
import { ANONYMOUS_CALLER } from "../keys/key_resolution.ts";
import type { NodeContext } from "../context/node_context.ts";
import { BrokenInvariantError } from "../utilities/invariant.ts";
import { SilentCallerDetector } from "./silent_caller_detector.ts";
import type {
  Authentication,
  Caller,
  EntryExchange,
  EntryHandler,
  EntryRoute,
} from "./entry_handler.ts";
import {
  abortExchange,
  ExchangeRegistry,
  type RunningExchange,
} from "./exchange_registry.ts";
import { CheckedRequest } from "./checked_request.ts";
import {
  HANDLER_FAILED,
  INVALID_URL,
  KEY_MISSING,
  TRAINER_KEY_REQUIRED,
  UNKNOWN_ROUTE,
} from "./common_refusals.ts";
import { type Refusal, sendRefusal } from "./refusal.ts";
import { waitForResponseEnd } from "./response_end.ts";
import { refuseUnreadable } from "./refuse_unreadable.ts";
import { RouteTable } from "./route_table.ts";
import { extractKey, type ShownKey } from "./shown_key.ts";
import { accountStaleKeys } from "./account_stale_keys.ts";
import { MAXIMUM_PEER_AGE_MILLISECONDS } from "./address_route.ts";

const HEADERS_TIMEOUT_MILLISECONDS = 10_000;
const MINIMUM_KEEP_ALIVE_MILLISECONDS = 1000;
const MAXIMUM_KEEP_ALIVE_MILLISECONDS = 5000;
const ADDRESS_CACHE_MARGIN_FACTOR = 1.5;
const LEAVING_DELIVERY_MARGIN_MILLISECONDS = 500;
const LAST_REQUEST_GRACE_MILLISECONDS = 500;
const DRAIN_CHECK_INTERVAL_MILLISECONDS = 20;
const MAXIMUM_HEADER_BYTES = 16_384;
const REQUEST_TIMEOUT_MILLISECONDS = 3_600_000;
const CONNECTIONS_CHECK_INTERVAL_MILLISECONDS = 2000;
const MAXIMUM_CONNECTIONS = 10_000;
const EXCHANGE_CHECK_INTERVAL_MILLISECONDS = 200;

/** A route of the declaration, which is not part of the fixed interface. */
export interface DeclaredRoute {
  readonly authentication: Authentication;
  readonly handler: EntryHandler;
}

/** Components of the node that the entry server uses. */
export interface EntryServerOptions {
  readonly context: NodeContext;
  readonly keys: KeyDirectory;
  /** The routes of the fixed interface. */
  readonly routes: ReadonlyArray<EntryRoute>;
  /**
   * Finds the declared route of a path for which the fixed interface has no route with the
   * request's method; undefined if there is none.
   */
  readonly findDeclared: (path: string) => DeclaredRoute | undefined;
}

/** The result of a drain. */
export interface DrainReport {
  /** Number of exchanges that were aborted at the end of the drain time. */
  readonly aborted: number;
  /** Duration of the drain in milliseconds. */
  readonly milliseconds: number;
}

type ServerPhase = "serving" | "leaving" | "closed";

/**
 * Serves callers over HTTP.
 * @example
 * ```ts
 * const server = new EntryServer({ context, keys, routes, findDeclared });
 * const address = await server.listen();
 * await server.drain();
 * ```
 */
export class EntryServer {
  readonly #context: NodeContext;
  readonly #keys: KeyDirectory;
  readonly #routes: RouteTable;
  readonly #findDeclared: (path: string) => DeclaredRoute | undefined;
  readonly #registry = new ExchangeRegistry();
  readonly #silentCallers: SilentCallerDetector;
  readonly #server: Server<typeof CheckedRequest>;
  #phase: ServerPhase = "serving";
  #sequence = 0;

  /** @param options - Components of the node, and the routes to serve. */
  constructor(options: EntryServerOptions) {
    this.#context = options.context;
    this.#keys = options.keys;
    this.#silentCallers = new SilentCallerDetector(
      options.context.settings.silenceMilliseconds,
    );
    this.#routes = new RouteTable(options.routes);
    this.#findDeclared = options.findDeclared;
    this.#server = createServer({
      IncomingMessage: CheckedRequest,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: computeKeepAliveMilliseconds(
        options.context.settings.addressKeepMilliseconds,
      ),
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MILLISECONDS,
    });
    this.#server.maxConnections = MAXIMUM_CONNECTIONS;
    this.#server.on("clientError", (error, socket) => {
      if (this.#registry.hasExchangeOn(socket as Socket)) socket.destroy();
      else refuseUnreadable(error, socket as Socket);
    });
    this.#server.on("request", (request, response) => {
      this.#serve(request, response).catch((error) =>
        this.#throwUncaught(error)
      );
    });
    this.#keys.addWithdrawalListener((identifier) =>
      this.#registry.abortKey(identifier)
    );
  }

  /** Returns the number of running exchanges. */
  get runningExchanges(): number {
    return this.#registry.size;
  }

  /** Returns whether a shutdown has begun. */
  get isLeaving(): boolean {
    return this.#phase !== "serving";
  }

  /** Returns whether the server accepts new connections. */
  get isListening(): boolean {
    return this.#server.listening;
  }

  /** Starts listening on the caller address of the settings; returns the address with the bound port. */
  async listen(): Promise<string> {
    const configured = this.#context.settings.callerAddress;
    const separator = configured.lastIndexOf(":");
    const host = configured.slice(0, separator);
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(
        Number(configured.slice(separator + 1)),
        host,
        resolve,
      );
    });
    const { port } = this.#server.address() as AddressInfo;
    const address = `${host}:${port}`;
    this.#context.log.emit("entryListening", { address });
    return address;
  }

  /**
   * Until the node stops, aborts exchanges whose caller is silent, and exchanges with a key while
   * the view of keys is stale.
   */
  async run(): Promise<void> {
    const { clock, stopping } = this.#context;
    while (!stopping.aborted && this.#phase !== "closed") {
      this.abortStaleExchanges();
      this.#abortSilentExchanges();
      await clock.sleep(EXCHANGE_CHECK_INTERVAL_MILLISECONDS, stopping);
    }
  }

  /** Aborts the exchanges that use a key if the view of keys is stale. */
  abortStaleExchanges(): void {
    if (this.#keys.isFresh()) return;
    const aborted = this.#registry.abortKeyed("staleKeys");
    if (aborted > 0) this.#context.log.emit("keysStale", { cut: aborted });
  }

  /**
   * Stops serving without aborting a request that finishes within the drain time. The node must have
   * published that it is leaving before the call.
   */
  async drain(): Promise<DrainReport> {
    const { clock, settings, log } = this.#context;
    const startedAt = clock.monotonic();
    this.#phase = "leaving";
    log.emit("entryDraining", { running: this.#registry.size });
    await clock.sleep(this.#acceptMilliseconds());
    NetServer.prototype.close.call(this.#server);
    const deadline = clock.monotonic() + settings.drainMilliseconds;
    await this.#waitForExchanges(deadline);
    const aborted = this.#registry.abortAll("leaving");
    await this.close();
    const milliseconds = Math.round(clock.monotonic() - startedAt);
    log.emit("entryDrained", { cut: aborted, milliseconds });
    return { aborted, milliseconds };
  }

  // Returns how long the server must accept connections after the drain started: until the peers have stopped
  // listing this node, and cached address responses and idle connections of callers have expired.
  #acceptMilliseconds(): number {
    const { addressKeepMilliseconds } = this.#context.settings;
    const cached = addressKeepMilliseconds * ADDRESS_CACHE_MARGIN_FACTOR;
    const idle = computeKeepAliveMilliseconds(addressKeepMilliseconds);
    const delisted = MAXIMUM_PEER_AGE_MILLISECONDS +
      LEAVING_DELIVERY_MARGIN_MILLISECONDS;
    return delisted + Math.max(cached, idle);
  }

  // Also waits LAST_REQUEST_GRACE_MILLISECONDS for idle connections: a request may be in flight on them.
  async #waitForExchanges(deadline: number): Promise<void> {
    const { clock } = this.#context;
    let idleSince = clock.monotonic();
    for (;;) {
      const now = clock.monotonic();
      if (now >= deadline) return;
      if (this.#registry.size > 0) idleSince = now;
      if (now - idleSince >= LAST_REQUEST_GRACE_MILLISECONDS) return;
      if (await this.#countConnections() === 0) return;
      await clock.sleep(DRAIN_CHECK_INTERVAL_MILLISECONDS);
    }
  }

  #countConnections(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.getConnections((_error, count) => resolve(count));
    });
  }

  /** Stops serving at once and aborts the running exchanges. */
  async close(): Promise<void> {
    this.#phase = "closed";
    this.#registry.abortAll("leaving");
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
      setTimeout(() => this.#server.closeAllConnections(), 500).unref();
    });
  }

  async #serve(
    request: CheckedRequest,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAt = this.#context.clock.monotonic();
    const requestIdentifier = this.#createRequestIdentifier();
    response.on("error", () => {});
    request.on("error", () => {});
    response.setHeader("x-request-id", requestIdentifier);
    if (this.isLeaving) response.setHeader("connection", "close");
    const url = parseUrl(request.url ?? "");
    if (url === undefined) return refuse(request, response, INVALID_URL);
    const shown = extractKey(request);
    if (shown.kind === "invalid") {
      const { message, field } = shown;
      const refusal = { error: "invalidRequest", message, field } as const;
      return refuse(request, response, { ...refusal, ran: "notRun" });
    }
    const target = this.#findTarget(request.method ?? "", url.pathname);
    if ("error" in target) return refuse(request, response, target);
    const caller = await this.#authenticate(shown, target.authentication);
    if ("error" in caller) {
      accountStaleKeys(this.#context.ledger, requestIdentifier, caller);
      return refuse(request, response, caller);
    }
    await this.#runHandler(target.handler, {
      requestIdentifier,
      caller,
      url,
      parameters: target.parameters,
      request,
      response,
      arrivedAt,
    });
  }

  #abortSilentExchanges(): void {
    const now = this.#context.clock.monotonic();
    for (
      const silent of this.#silentCallers.find(this.#registry.exchanges(), now)
    ) {
      const isAnswering = silent.response.headersSent;
      abortExchange(silent, isAnswering ? "callerGone" : "silentCaller");
      this.#context.log.emit("callerSilent", { answering: isAnswering });
    }
  }

  #findTarget(
    method: string,
    path: string,
  ): (DeclaredRoute & Pick<EntryExchange, "parameters">) | Refusal {
    const match = this.#routes.find(method, path);
    if (match.kind === "found") {
      const { authentication, handler } = match.route;
      return { authentication, handler, parameters: match.parameters };
    }
    const declared = this.#findDeclared(path);
    if (declared !== undefined) return { ...declared, parameters: {} };
    if (match.kind === "unknown") return UNKNOWN_ROUTE;
    const message = `The path takes only ${match.allowed}`;
    return {
      error: "methodNotAllowed",
      message,
      ran: "notRun",
      field: "method",
    };
  }

  async #authenticate(
    shown: ShownKey,
    authentication: Authentication,
  ): Promise<Caller | Refusal> {
    if (authentication === "none") return ANONYMOUS_CALLER;
    if (shown.kind !== "shown") {
      return authentication === "optionalKey" ? ANONYMOUS_CALLER : KEY_MISSING;
    }
    const resolution = await this.#keys.resolve(shown.key);
    if (resolution.kind === "refused") {
      const { error, message, retryAfterMilliseconds } = resolution;
      return { error, message, ran: "notRun", retryAfterMilliseconds };
    }
    const { caller } = resolution;
    if (authentication === "trainerKey" && !caller.isTrainer) {
      return TRAINER_KEY_REQUIRED;
    }
    return caller;
  }

  async #runHandler(
    handler: EntryHandler,
    parts: Omit<EntryExchange, "signal">,
  ): Promise<void> {
    const controller = new AbortController();
    const { response } = parts;
    const request = parts.request as CheckedRequest;
    const { keyIdentifier } = parts.caller;
    const running = { keyIdentifier, request, response, controller };
    this.#registry.add(running);
    this.#abortOnBodyFault(request, running);
    response.on("close", () => {
      if (!response.writableFinished) abortExchange(running, "callerGone");
    });
    if (response.destroyed) abortExchange(running, "callerGone");
    if (keyIdentifier !== "" && this.#keys.isWithdrawn(keyIdentifier)) {
      abortExchange(running, "keyWithdrawn");
    }
    try {
      const { signal } = controller;
      if (!signal.aborted) await handler({ ...parts, signal });
      if (!response.writableEnded) sendRefusal(response, HANDLER_FAILED);
    } catch (error) {
      if (error instanceof BrokenInvariantError) throw error;
      this.#logHandlerFailure(parts.requestIdentifier, error);
      sendRefusal(response, HANDLER_FAILED);
    } finally {
      await waitForResponseEnd(response);
      this.#registry.remove(running);
      request.resume();
    }
  }

  #abortOnBodyFault(request: CheckedRequest, running: RunningExchange): void {
    request.onBodyFault = (fault) => abortExchange(running, fault);
    if (request.bodyFault !== undefined) {
      abortExchange(running, request.bodyFault);
    }
  }

  #logHandlerFailure(request: string, error: unknown): void {
    const detail = error instanceof Error ? error.message : String(error);
    this.#context.log.emit("handlerFailed", { request, detail });
  }

  #createRequestIdentifier(): string {
    this.#sequence += 1;
    return `${this.#context.nodeStart}-${this.#sequence.toString(36)}`;
  }

  // Throws outside the promise chain, because a broken invariant must stop the process and not only this exchange.
  #throwUncaught(error: unknown): void {
    queueMicrotask(() => {
      throw error;
    });
  }
}

function computeKeepAliveMilliseconds(addressKeepMilliseconds: number): number {
  const withMinimum = Math.max(
    MINIMUM_KEEP_ALIVE_MILLISECONDS,
    addressKeepMilliseconds,
  );
  return Math.min(MAXIMUM_KEEP_ALIVE_MILLISECONDS, withMinimum);
}

function parseUrl(text: string): URL | undefined {
  if (!text.startsWith("/")) return undefined;
  try {
    return new URL(`http://entry${text}`);
  } catch {
    return undefined;
  }
}

function refuse(
  request: CheckedRequest,
  response: ServerResponse,
  refusal: Refusal,
): void {
  sendRefusal(response, refusal);
  request.resume();
}
