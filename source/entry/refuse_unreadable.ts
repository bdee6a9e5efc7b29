import type { Socket } from "node:net";
import type { Refusal } from "./refusal.ts";

interface ParseFailure {
  readonly status: string;
  readonly message: string;
  readonly error: Refusal["error"];
}

const INVALID_HTTP: ParseFailure = {
  status: "400 Bad Request",
  message: "The request can't be read as HTTP/1.1",
  error: "invalidRequest",
};

const FAILURE_BY_CODE: Readonly<Record<string, ParseFailure>> = {
  HPE_HEADER_OVERFLOW: {
    status: "431 Request Header Fields Too Large",
    message: "The headers have too many bytes",
    error: "tooLarge",
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: "408 Request Timeout",
    message: "The request was not received completely in time",
    error: "invalidRequest",
  },
};

/**
 * Closes a connection whose bytes can't be parsed as a request; sends a typed refusal first unless other bytes
 * were already sent on the connection.
 * @param error - Error of the HTTP parser.
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
  const failure = FAILURE_BY_CODE[error.code ?? ""] ?? INVALID_HTTP;
  const refusal: Refusal = {
    error: failure.error,
    message: failure.message,
    ran: "notRun",
    field: "request",
  };
  const body = JSON.stringify(refusal) + "\n";
  socket.end(
    `HTTP/1.1 ${failure.status}\r\nconnection: close\r\n` +
      "content-type: application/json\r\n" +
      `content-length: ${body.length}\r\n\r\n${body}`,
  );
}
