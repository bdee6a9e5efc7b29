import { createHash, timingSafeEqual } from "node:crypto";
import {
  createServer,
  type Http2Server,
  Http2ServerRequest,
  type ServerHttp2Session,
} from "node:http2";
import type { AddressInfo } from "node:net";
import {
  Code,
  ConnectError,
  type ConnectRouter,
  type ContextValues,
  createContextKey,
  createContextValues,
  type Interceptor,
} from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { EventLog } from "../observability/event_log.ts";
import { MAXIMUM_MESSAGE_BYTES, SECRET_HEADER } from "./peer_connection.ts";

/** Context key of the function that closes the caller's connection. */
export const CLOSE_CONNECTION = createContextKey<() => void>(() => {});

/** Options of the server for peers and operators. */
export interface PeerServerOptions {
  /** HOST:PORT to listen on; port 0 selects a free port. */
  readonly address: string;
  /** Shared secret that every call must contain; an empty secret disables the check. */
  readonly secret: string;
  /** Functions that add the services to the router. */
  readonly registerRoutes: ReadonlyArray<(router: ConnectRouter) => void>;
  readonly log: EventLog;
}

/** Running server for peers and operators. */
export interface PeerServer {
  /** HOST:PORT on which it listens. */
  readonly address: string;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/**
 * Starts the server for peers and operators, over cleartext HTTP/2.
 * @param options - Address, secret and services.
 * @returns The listening server; rejects when the server can't listen on the address.
 * @example
 * ```ts
 * const server = await startPeerServer({
 *   address: "127.0.0.1:0",
 *   secret: "",
 *   registerRoutes: [membership.registerRoutes],
 *   log,
 * });
 * ```
 */
export async function startPeerServer(
  options: PeerServerOptions,
): Promise<PeerServer> {
  const handler = connectNodeAdapter({
    routes: (router) => options.registerRoutes.forEach((add) => add(router)),
    interceptors: [checkSecret(options)],
    contextValues: createValues,
    acceptCompression: [],
    readMaxBytes: MAXIMUM_MESSAGE_BYTES,
  });
  const server = createServer(handler);
  const sessions = new Set<ServerHttp2Session>();
  server.on("session", (session) => {
    sessions.add(session);
    session.on("error", () => session.destroy());
    session.on("close", () => sessions.delete(session));
  });
  await listen(server, options.address);
  const { address, port } = server.address() as AddressInfo;
  return {
    address: `${address}:${port}`,
    close: () => closeServer(server, sessions),
  };
}

function createValues(request: unknown): ContextValues {
  const values = createContextValues();
  if (!(request instanceof Http2ServerRequest)) return values;
  const session = request.stream.session;
  return values.set(CLOSE_CONNECTION, () => session?.destroy());
}

function listen(server: Http2Server, address: string): Promise<void> {
  const separator = address.lastIndexOf(":");
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

function closeServer(
  server: Http2Server,
  sessions: ReadonlySet<ServerHttp2Session>,
): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    for (const session of sessions) session.destroy();
  });
}

function checkSecret({ secret, log }: PeerServerOptions): Interceptor {
  const expected = digest(secret);
  return (next) => (request) => {
    const received = digest(request.header.get(SECRET_HEADER) ?? "");
    if (secret === "" || timingSafeEqual(expected, received)) {
      return next(request);
    }
    log.emit("peerCallRefused", { method: request.method.name });
    throw new ConnectError(
      `Header ${SECRET_HEADER} is missing or has the wrong secret`,
      Code.Unauthenticated,
    );
  };
}

function digest(secret: string): Uint8Array {
  return createHash("sha256").update(secret).digest();
}
