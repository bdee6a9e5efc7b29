import type { Interceptor, Transport } from "@connectrpc/connect";
import { createGrpcTransport } from "@connectrpc/connect-node";
import { PeerHttp2Session } from "./peer_http2_session.ts";

/** Header that carries the secret which peers and operators share. */
export const SECRET_HEADER = "x-snipepath-secret";
/** Largest message that a node takes from a peer. */
export const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Where to connect, and the secret to show. */
export interface PeerConnectionOptions {
  /** HOST:PORT of the node's peer server. */
  readonly address: string;
  /** Shared secret; empty for none. */
  readonly secret: string;
}

/** One connection to a node. */
export interface PeerConnection {
  readonly transport: Transport;
  /** Closes the connection and fails what runs on it. */
  close(): void;
}

/**
 * Creates a transport on a connection of its own, which no other call shares. It connects with the first call.
 * @param options - Address and secret.
 * @example
 * ```ts
 * const connection = createPeerConnection({ address: "10.0.0.7:7001", secret: "" });
 * const client = createClient(OperatorService, connection.transport);
 * ```
 */
export function createPeerConnection(
  options: PeerConnectionOptions,
): PeerConnection {
  const session = new PeerHttp2Session(options.address);
  const transport = createGrpcTransport({
    baseUrl: session.authority,
    sessionManager: session,
    acceptCompression: [],
    readMaxBytes: MAXIMUM_MESSAGE_BYTES,
    interceptors: [showSecret(options.secret)],
  });
  return { transport, close: () => session.close() };
}

function showSecret(secret: string): Interceptor {
  return (next) => (request) => {
    if (secret !== "") request.header.set(SECRET_HEADER, secret);
    return next(request);
  };
}
