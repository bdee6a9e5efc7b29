import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

const FORWARDED_REQUEST_HEADERS: ReadonlyArray<string> = [
  "accept",
  "accept-encoding",
  "accept-language",
  "content-encoding",
  "content-language",
  "content-length",
  "content-type",
  "if-match",
  "if-modified-since",
  "if-none-match",
  "if-unmodified-since",
  "range",
  "traceparent",
];

const HOP_BY_HOP_HEADERS: ReadonlyArray<string> = [
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
];

/**
 * Selects the headers of a caller that are forwarded to a backend server.
 * @param headers - Headers of the caller.
 * @example
 * ```ts
 * pickRequestHeaders({ accept: "text/html", authorization: "Bearer key" }); // accept alone
 * ```
 */
export function pickRequestHeaders(
  headers: IncomingHttpHeaders,
): Readonly<Record<string, string>> {
  const picked: Record<string, string> = {};
  for (const name of FORWARDED_REQUEST_HEADERS) {
    const value = headers[name];
    if (typeof value === "string") picked[name] = value;
  }
  return picked;
}

/**
 * Selects the headers of a backend server's answer that are forwarded to the caller.
 * @param headers - Headers of the answer.
 * @example
 * ```ts
 * const headers = pickAnswerHeaders(answer.headers);
 * ```
 */
export function pickAnswerHeaders(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const connectionOptions = String(headers.connection ?? "").toLowerCase()
    .split(/, */);
  const forwarded = Object.entries(headers).filter(([name]) =>
    !HOP_BY_HOP_HEADERS.includes(name) && !connectionOptions.includes(name)
  );
  return Object.fromEntries(forwarded);
}
