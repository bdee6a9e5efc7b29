import type { Socket } from "node:net";
import type { Refusal } from "./refusal.ts";

interface UnreadableKind {
  readonly status: string;
  readonly message: string;
  readonly error: Refusal["error"];
}

const INVALID: UnreadableKind = {
  status: "400 Bad Request",
  message: "The request can't be read as HTTP/1.1",
  error: "invalidRequest",
};

const KIND_BY_CODE: Readonly<Record<string, UnreadableKind>> = {
  HPE_HEADER_OVERFLOW: {
    status: "431 Request Header Fields Too Large",
    message: "The headers have too many bytes",
    error: "tooLarge",
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: "408 Request Timeout",
    message: "The request did not come whole in time",
    error: "invalidRequest",
  },
};

/**
 * Ends a connection whose bytes are no request, with a typed refusal where none of another answer was sent.
 * @param error - What the parser found.
 * @param socket - The caller's connection.
 * @example
 * ```ts
 * server.on("clientError", refuseUnreadable);
 * ```
 */
export function refuseUnreadable(
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (!socket.writable || socket.bytesWritten > 0) {
    socket.destroy();
    return;
  }
  const kind = KIND_BY_CODE[error.code ?? ""] ?? INVALID;
  const refusal: Refusal = {
    error: kind.error,
    message: kind.message,
    ran: "notRun",
    field: "request",
  };
  const body = JSON.stringify(refusal) + "\n";
  socket.end(
    `HTTP/1.1 ${kind.status}\r\nconnection: close\r\n` +
      "content-type: application/json\r\n" +
      `content-length: ${body.length}\r\n\r\n${body}`,
  );
}
