import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

/**
 * Asked before each request is handled.
 * @returns Whether the request was dealt with and must not be handled.
 */
export type RequestFaults = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<boolean>;

/** What a stand-in's server needs. */
export interface StandInServerOptions {
  readonly host: string;
  readonly port: number;
  readonly faults?: RequestFaults | undefined;
  readonly handle: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => Promise<void>;
}

/** A listening server. */
export interface StandInServer {
  /** HOST:PORT. */
  readonly address: string;
  /** Stops listening and cuts all connections. */
  close(): Promise<void>;
}

/**
 * Starts an HTTP server for a stand-in.
 * @param options - Address, faults and handler.
 * @example
 * ```ts
 * const server = await startStandInServer({ host: "127.0.0.1", port: 0, handle });
 * ```
 */
export async function startStandInServer(
  options: StandInServerOptions,
): Promise<StandInServer> {
  const server = createServer((request, response) => {
    void serve(request, response, options);
  });
  server.keepAliveTimeout = 30_000;
  await listen(server, options);
  const { address, port } = server.address() as AddressInfo;
  return { address: `${address}:${port}`, close: () => closeServer(server) };
}

/**
 * Reads the whole body of a request.
 * @param request - The request.
 * @returns The body; undefined when it was cut or is too large.
 * @example
 * ```ts
 * const body = await readBody(request);
 * ```
 */
export async function readBody(
  request: IncomingMessage,
): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      if (size > MAXIMUM_BODY_BYTES) return undefined;
      chunks.push(chunk as Buffer);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks).toString("utf8");
}

/**
 * Ends a response with JSON.
 * @param response - The response.
 * @param status - The status.
 * @param value - What is sent.
 * @example
 * ```ts
 * sendJson(response, 200, { running: 0 });
 * ```
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.statusCode = status;
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(value));
}

async function serve(
  request: IncomingMessage,
  response: ServerResponse,
  options: StandInServerOptions,
): Promise<void> {
  const faulted = await options.faults?.(request, response);
  if (faulted === true) return;
  await options.handle(request, response);
}

function listen(server: Server, options: StandInServerOptions): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, () => resolve());
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
