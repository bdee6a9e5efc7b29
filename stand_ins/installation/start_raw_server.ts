import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { StartedServer } from "./start_http_server.ts";

/** A request that a raw server has read. */
export interface RawRequest {
  readonly method: string;
  readonly path: string;
  /** Headers by name in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Number of the request on its connection; 1 for the first. */
  readonly numberOnConnection: number;
}

/** Writes the bytes of a response, or others, to the connection of a request. */
export type RawResponder = (request: RawRequest, socket: Socket) => void;

/** A running raw server. */
export interface RawServer extends StartedServer {
  /** All requests read so far, in order. */
  readonly requests: ReadonlyArray<RawRequest>;
}

/**
 * Starts a server on a free loopback port whose responses are written byte by byte, so that they
 * can break the protocol.
 */
export async function startRawServer(
  respond: RawResponder,
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  const requests: RawRequest[] = [];
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    let pending = Buffer.alloc(0);
    let numberOnConnection = 0;
    socket.on("data", (chunk: Buffer) => {
      pending = Buffer.concat([pending, chunk]);
      for (;;) {
        const length = findRequestLength(pending);
        if (length === undefined) return;
        numberOnConnection += 1;
        const request = parseRequest(pending, numberOnConnection);
        pending = pending.subarray(length);
        requests.push(request);
        respond(request, socket);
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    requests,
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

/**
 * Formats a response with a body of a stated length.
 * @param request - The request, whose identifier is echoed.
 * @param body - The body.
 * @param headers - Further header lines.
 */
export function formatResponse(
  request: RawRequest,
  body: string,
  headers: ReadonlyArray<string> = [],
): string {
  return [
    "HTTP/1.1 200 OK",
    ...identify(request),
    ...headers,
    `content-length: ${Buffer.byteLength(body)}`,
    "",
    body,
  ].join("\r\n");
}

/** Formats the head of a response, with lines that say where its body ends. */
export function formatHead(
  request: RawRequest,
  framing: ReadonlyArray<string>,
): string {
  return ["HTTP/1.1 200 OK", ...identify(request), ...framing, "", ""]
    .join("\r\n");
}

/** Formats a chunk of a chunked body. */
export function formatChunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

function identify({ headers }: RawRequest): ReadonlyArray<string> {
  return [
    `request-id: ${headers["request-id"] ?? ""}`,
    "server-stamp: signed by a raw server",
    "weight-versions: 1",
  ];
}

function findRequestLength(bytes: Buffer): number | undefined {
  const end = bytes.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const head = bytes.subarray(0, end).toString();
  const body = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
  const length = end + 4 + body;
  return bytes.length < length ? undefined : length;
}

function parseRequest(bytes: Buffer, numberOnConnection: number): RawRequest {
  const [first = "", ...lines] = bytes.subarray(0, bytes.indexOf("\r\n\r\n"))
    .toString().split("\r\n");
  const [method = "", path = ""] = first.split(" ");
  const headers: Record<string, string> = {};
  for (const line of lines) {
    const separator = line.indexOf(":");
    const name = line.slice(0, separator).toLowerCase();
    headers[name] = line.slice(separator + 1).trim();
  }
  return { method, path, headers, numberOnConnection };
}
