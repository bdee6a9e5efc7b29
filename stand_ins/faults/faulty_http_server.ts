import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import {
  FAULT_KINDS,
  FaultInjector,
  type FaultKind,
} from "./fault_injector.ts";

/** A request to a stand-in with its response. */
export interface StandInExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** The fault that the handler itself has to inject. */
  readonly fault: "garbled" | "crossed" | undefined;
}

/** Options of a stand-in's HTTP server. */
export interface FaultyHttpServerOptions {
  /** Handles a request, except those to `/faults`, which the server handles. */
  readonly handle: (exchange: StandInExchange) => Promise<void> | void;
  /** Port on loopback; a free port if 0 or absent. */
  readonly port?: number;
  /** One-way latency between caller and stand-in. */
  readonly latencyMilliseconds?: number;
}

/** A running HTTP server of a stand-in. */
export interface FaultyHttpServer {
  /** HOST:PORT. */
  readonly address: string;
  readonly faults: FaultInjector;
  /** Destroys all connections and stops listening, as if the process had been killed. */
  close(): Promise<void>;
}

type FaultAction = (
  exchange: StandInExchange,
  next: () => Promise<void>,
  milliseconds: number,
) => Promise<void>;

const FAULT_ACTIONS: Readonly<Record<FaultKind, FaultAction>> = {
  down: async ({ request }) => void request.socket.destroy(),
  slow: async (_exchange, next, milliseconds) => {
    await sleep(milliseconds);
    await next();
  },
  loseAnswer: async ({ response }, next) => {
    discardResponse(response);
    await next();
  },
  freeze: async () => {},
  error: async ({ response }) => {
    sendJson(response, 500, { error: "fault" });
  },
  garbled: (_exchange, next) => next(),
  crossed: (_exchange, next) => next(),
};

/**
 * Starts an HTTP server on loopback that injects the faults set through `faults` or `/faults`.
 * @param options - Request handler, port, and latency in milliseconds.
 * @example
 * ```ts
 * const server = await startFaultyHttpServer({
 *   handle: ({ response }) => void response.end("ok"),
 * });
 * server.faults.set({ fault: "down", count: 1 });
 * await server.close();
 * ```
 */
export async function startFaultyHttpServer(
  options: FaultyHttpServerOptions,
): Promise<FaultyHttpServer> {
  const faults = new FaultInjector();
  const sockets = new Set<Socket>();
  const frozenSockets = new WeakSet<Socket>();
  const server = createServer({ keepAliveTimeout: 0, requestTimeout: 0 });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
  });
  faults.setFreezeHandler(() => {
    for (const socket of sockets) freezeSocket(socket, frozenSockets);
  });
  server.on("request", (request, response) => {
    if (frozenSockets.has(request.socket)) return faults.countFrozenRequest();
    serve({ request, response, faults, options }).catch(() =>
      request.socket.destroy()
    );
  });
  await listen(server, options.port ?? 0);
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    faults,
    close: () => closeServer(server, sockets),
  };
}

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** Reads the whole body of a request. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

interface ServeInput {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly faults: FaultInjector;
  readonly options: FaultyHttpServerOptions;
}

async function serve(input: ServeInput): Promise<void> {
  const { request, response, faults, options } = input;
  const url = new URL(request.url ?? "/", "http://stand-in");
  if (url.pathname === "/faults") {
    return await handleFaultRequest(request, response, faults);
  }
  echoRequestIdentifier(request, response);
  const latency = (options.latencyMilliseconds ?? 0) * 2;
  if (latency > 0) await sleep(latency);
  const fault = faults.takeFault(url.pathname);
  const kind = fault?.fault;
  const exchange: StandInExchange = {
    request,
    response,
    url,
    fault: kind === "garbled" || kind === "crossed" ? kind : undefined,
  };
  const handleRequest = async (): Promise<void> =>
    await options.handle(exchange);
  if (fault === undefined) return await handleRequest();
  await FAULT_ACTIONS[fault.fault](exchange, handleRequest, fault.milliseconds);
}

async function handleFaultRequest(
  request: IncomingMessage,
  response: ServerResponse,
  faults: FaultInjector,
): Promise<void> {
  if (request.method === "DELETE") {
    faults.clear();
    return sendJson(response, 200, {});
  }
  const fault = JSON.parse(String(await readBody(request)));
  if (!FAULT_KINDS.includes(fault.fault)) {
    return sendJson(response, 400, { error: "unknown fault" });
  }
  faults.set(fault);
  sendJson(response, 200, {});
}

function echoRequestIdentifier(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const identifier = request.headers["x-request-id"];
  if (identifier !== undefined) response.setHeader("x-request-id", identifier);
}

function discardResponse(response: ServerResponse): void {
  response.writeHead = () => response;
  response.flushHeaders = () => {};
  response.write = () => true;
  response.end = () => {
    response.destroy();
    return response;
  };
}

function freezeSocket(socket: Socket, frozen: WeakSet<Socket>): void {
  frozen.add(socket);
  socket.write = () => true;
}

function listen(server: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => resolve());
  });
}

function closeServer(server: Server, sockets: Set<Socket>): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    for (const socket of sockets) socket.destroy();
  });
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
