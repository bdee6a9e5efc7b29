import type { Interceptor, Transport } from "@connectrpc/connect";
import { createGrpcTransport } from "@connectrpc/connect-node";
import { PeerHttp2Session } from "./peer_http2_session.ts";

/** Header that contains the secret shared by nodes and operators. */
export const SECRET_HEADER = "x-snipepath-secret";
/** Maximum size of a message that a node accepts from a peer. */
export const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Options of a connection to a node. */
export interface PeerConnectionOptions {
  /** HOST:PORT of the node's peer server. */
  readonly address: string;
  /** Shared secret; empty for none. */
  readonly secret: string;
}

/** Connection to a node. */
export interface PeerConnection {
  readonly transport: Transport;
  /** Closes the connection, which fails its running calls. */
  close(): void;
}

/**
 * Creates a transport on a separate connection, which is opened by the first call.
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
    interceptors: [addSecretHeader(options.secret)],
  });
  return { transport, close: () => session.close() };
}

function addSecretHeader(secret: string): Interceptor {
  return (next) => (request) => {
    if (secret !== "") request.header.set(SECRET_HEADER, secret);
    return next(request);
  };
}
