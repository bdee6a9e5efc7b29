import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import type { KeyDirectory } from "../keys/key_directory.ts";
import { ANONYMOUS_CALLER } from "../keys/key_resolution.ts";
import type { NodeContext } from "../context/node_context.ts";
import { BrokenInvariantError } from "../utilities/invariant.ts";
import { CallerSilence } from "./caller_silence.ts";
import type {
  Authentication,
  Caller,
  EntryExchange,
  EntryHandler,
  EntryRoute,
} from "./entry_handler.ts";
import {
  cutExchange,
  ExchangeRegistry,
  type RunningExchange,
} from "./exchange_registry.ts";
import { GuardedRequest } from "./guarded_request.ts";
import {
  HANDLER_FAILED,
  INVALID_URL,
  KEY_MISSING,
  NO_TRAINER_KEY,
  UNKNOWN_ROUTE,
} from "./common_refusals.ts";
import { type Refusal, sendRefusal } from "./refusal.ts";
import { waitForEnd } from "./response_end.ts";
import { refuseUnreadable } from "./refuse_unreadable.ts";
import { RouteTable } from "./route_table.ts";
import { type ShownKey, takeShownKey } from "./shown_key.ts";
import { accountStaleKeys } from "./account_stale_keys.ts";
import { PEER_VIEW_MILLISECONDS } from "./address_route.ts";

const HEADERS_TIMEOUT_MILLISECONDS = 10_000;
const SHORTEST_KEEP_ALIVE_MILLISECONDS = 1000;
const LONGEST_KEEP_ALIVE_MILLISECONDS = 5000;
const ADDRESS_KEEP_MARGIN = 1.5;
const TOLD_MARGIN_MILLISECONDS = 500;
const LAST_REQUEST_MILLISECONDS = 500;
const DRAIN_CHECK_MILLISECONDS = 20;
const MAXIMUM_HEADER_BYTES = 16_384;
const REQUEST_TIMEOUT_MILLISECONDS = 3_600_000;
const CONNECTIONS_CHECK_MILLISECONDS = 2000;
const MAXIMUM_CONNECTIONS = 10_000;
const WATCH_INTERVAL_MILLISECONDS = 200;

/** What serves a path that is not of the fixed interface. */
export interface DeclaredRoute {
  readonly authentication: Authentication;
  readonly handler: EntryHandler;
}

/** What the entry server works with. */
export interface EntryServerOptions {
  readonly context: NodeContext;
  readonly keys: KeyDirectory;
  /** The routes of the fixed interface. */
  readonly routes: ReadonlyArray<EntryRoute>;
  /** Finds what serves any other path; undefined for nothing. */
  readonly findDeclared: (path: string) => DeclaredRoute | undefined;
}

/** How long a shutdown took, and whether it cut anything. */
export interface DrainReport {
  readonly cut: number;
  readonly milliseconds: number;
}

type ServePhase = "serving" | "leaving" | "closed";

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
  readonly #silence: CallerSilence;
  readonly #server: Server<typeof GuardedRequest>;
  #phase: ServePhase = "serving";
  #sequence = 0;

  /** @param options - The node, its keys and its routes. */
  constructor(options: EntryServerOptions) {
    this.#context = options.context;
    this.#keys = options.keys;
    this.#silence = new CallerSilence(
      options.context.settings.silenceMilliseconds,
    );
    this.#routes = new RouteTable(options.routes);
    this.#findDeclared = options.findDeclared;
    this.#server = createServer({
      IncomingMessage: GuardedRequest,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: keepAliveMilliseconds(
        options.context.settings.addressKeepMilliseconds,
      ),
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      connectionsCheckingInterval: CONNECTIONS_CHECK_MILLISECONDS,
    });
    this.#server.maxConnections = MAXIMUM_CONNECTIONS;
    this.#server.on("clientError", (error, socket) => {
      if (this.#registry.isBusy(socket as Socket)) socket.destroy();
      else refuseUnreadable(error, socket as Socket);
    });
    this.#server.on("request", (request, response) => {
      this.#serve(request, response).catch((error) => this.#stopOn(error));
    });
    this.#keys.addWithdrawalListener((identifier) =>
      this.#registry.cutKey(identifier)
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

  /** Returns whether new connections are taken. */
  get isListening(): boolean {
    return this.#server.listening;
  }

  /** Begins to serve at the settings' caller address; returns the address, with the port that was bound. */
  async listen(): Promise<string> {
    const wanted = this.#context.settings.callerAddress;
    const separator = wanted.lastIndexOf(":");
    const host = wanted.slice(0, separator);
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(wanted.slice(separator + 1)), host, resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    const address = `${host}:${port}`;
    this.#context.log.emit("entryListening", { address });
    return address;
  }

  /** Cuts silent exchanges, and keyed ones once the keys' freshness bound has passed, until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#context;
    while (!stopping.aborted && this.#phase !== "closed") {
      this.cutStaleExchanges();
      this.#cutSilentExchanges();
      await clock.sleep(WATCH_INTERVAL_MILLISECONDS, stopping);
    }
  }

  /** Cuts keyed exchanges if the view of keys is not fresh now. */
  cutStaleExchanges(): void {
    if (this.#keys.isFresh()) return;
    const cut = this.#registry.cutKeyed("staleKeys");
    if (cut > 0) this.#context.log.emit("keysStale", { cut });
  }

  /**
   * Ends serving without cutting a request that ends within the drain time. Before the call, the
   * node must have told that it is leaving.
   */
  async drain(): Promise<DrainReport> {
    const { clock, settings, log } = this.#context;
    const startedAt = clock.monotonic();
    this.#phase = "leaving";
    log.emit("entryDraining", { running: this.#registry.size });
    await clock.sleep(this.#lingerMilliseconds());
    NetServer.prototype.close.call(this.#server);
    const deadline = clock.monotonic() + settings.drainMilliseconds;
    await this.#waitForExchanges(deadline);
    const cut = this.#registry.cutEvery("leaving");
    await this.close();
    const milliseconds = Math.round(clock.monotonic() - startedAt);
    log.emit("entryDrained", { cut, milliseconds });
    return { cut, milliseconds };
  }

  // Callers keep an address answer, and idle connections, for some time after the peers heard of the leaving.
  #lingerMilliseconds(): number {
    const { addressKeepMilliseconds } = this.#context.settings;
    const kept = addressKeepMilliseconds * ADDRESS_KEEP_MARGIN;
    const idle = keepAliveMilliseconds(addressKeepMilliseconds);
    const told = PEER_VIEW_MILLISECONDS + TOLD_MARGIN_MILLISECONDS;
    return told + Math.max(kept, idle);
  }

  // Connections without a request yet get a moment too: their first request may be on its way.
  async #waitForExchanges(deadline: number): Promise<void> {
    const { clock } = this.#context;
    let idleSince = clock.monotonic();
    for (;;) {
      const now = clock.monotonic();
      if (now >= deadline) return;
      if (this.#registry.size > 0) idleSince = now;
      if (now - idleSince >= LAST_REQUEST_MILLISECONDS) return;
      if (await this.#countConnections() === 0) return;
      await clock.sleep(DRAIN_CHECK_MILLISECONDS);
    }
  }

  #countConnections(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.getConnections((_error, count) => resolve(count));
    });
  }

  /** Stops serving at once; running exchanges are cut. */
  async close(): Promise<void> {
    this.#phase = "closed";
    this.#registry.cutEvery("leaving");
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
      setTimeout(() => this.#server.closeAllConnections(), 500).unref();
    });
  }

  async #serve(
    request: GuardedRequest,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAt = this.#context.clock.monotonic();
    const requestIdentifier = this.#nextIdentifier();
    response.on("error", () => {});
    request.on("error", () => {});
    response.setHeader("x-request-id", requestIdentifier);
    if (this.isLeaving) response.setHeader("connection", "close");
    const url = parseUrl(request.url ?? "");
    if (url === undefined) return refuse(request, response, INVALID_URL);
    const shown = takeShownKey(request);
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
    await this.#run(target.handler, {
      requestIdentifier,
      caller,
      url,
      parameters: target.parameters,
      request,
      response,
      arrivedAt,
    });
  }

  #cutSilentExchanges(): void {
    const now = this.#context.clock.monotonic();
    for (const silent of this.#silence.find(this.#registry.exchanges(), now)) {
      const isAnswering = silent.response.headersSent;
      cutExchange(silent, isAnswering ? "callerGone" : "silentCaller");
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
      return NO_TRAINER_KEY;
    }
    return caller;
  }

  async #run(
    handler: EntryHandler,
    parts: Omit<EntryExchange, "signal">,
  ): Promise<void> {
    const controller = new AbortController();
    const { response } = parts;
    const request = parts.request as GuardedRequest;
    const { keyIdentifier } = parts.caller;
    const running = { keyIdentifier, request, response, controller };
    this.#registry.add(running);
    this.#guardBody(request, running);
    response.on("close", () => {
      if (!response.writableFinished) cutExchange(running, "callerGone");
    });
    if (response.destroyed) cutExchange(running, "callerGone");
    if (keyIdentifier !== "" && this.#keys.isWithdrawn(keyIdentifier)) {
      cutExchange(running, "keyWithdrawn");
    }
    try {
      const { signal } = controller;
      if (!signal.aborted) await handler({ ...parts, signal });
      if (!response.writableEnded) sendRefusal(response, HANDLER_FAILED);
    } catch (error) {
      if (error instanceof BrokenInvariantError) throw error;
      this.#noteFailure(parts.requestIdentifier, error);
      sendRefusal(response, HANDLER_FAILED);
    } finally {
      await waitForEnd(response);
      this.#registry.remove(running);
      request.resume();
    }
  }

  #guardBody(request: GuardedRequest, running: RunningExchange): void {
    request.onBodyFault = (fault) => cutExchange(running, fault);
    if (request.bodyFault !== undefined) {
      cutExchange(running, request.bodyFault);
    }
  }

  #noteFailure(request: string, error: unknown): void {
    const detail = error instanceof Error ? error.message : String(error);
    this.#context.log.emit("handlerFailed", { request, detail });
  }

  #nextIdentifier(): string {
    this.#sequence += 1;
    return `${this.#context.nodeStart}-${this.#sequence.toString(36)}`;
  }

  // A broken invariant must stop the process, not only this exchange.
  #stopOn(error: unknown): void {
    queueMicrotask(() => {
      throw error;
    });
  }
}

function keepAliveMilliseconds(addressKeepMilliseconds: number): number {
  const atLeast = Math.max(
    SHORTEST_KEEP_ALIVE_MILLISECONDS,
    addressKeepMilliseconds,
  );
  return Math.min(LONGEST_KEEP_ALIVE_MILLISECONDS, atLeast);
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
  request: GuardedRequest,
  response: ServerResponse,
  refusal: Refusal,
): void {
  sendRefusal(response, refusal);
  request.resume();
}
