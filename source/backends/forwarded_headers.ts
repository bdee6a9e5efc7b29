import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

const REQUEST_HEADERS: ReadonlyArray<string> = [
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

const CONNECTION_HEADERS: ReadonlyArray<string> = [
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
 * Returns those headers of a caller that a backend server may see.
 * @param headers - The caller's headers.
 * @example
 * ```ts
 * pickRequestHeaders({ accept: "text/html", authorization: "Bearer key" }); // accept alone
 * ```
 */
export function pickRequestHeaders(
  headers: IncomingHttpHeaders,
): Readonly<Record<string, string>> {
  const picked: Record<string, string> = {};
  for (const name of REQUEST_HEADERS) {
    const value = headers[name];
    if (typeof value === "string") picked[name] = value;
  }
  return picked;
}

/**
 * Returns those headers of a backend server's answer that go to the caller.
 * @param headers - The answer's headers.
 * @example
 * ```ts
 * const headers = pickAnswerHeaders(answer.headers);
 * ```
 */
export function pickAnswerHeaders(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const named = String(headers.connection ?? "").toLowerCase().split(/, */);
  const kept = Object.entries(headers).filter(([name]) =>
    !CONNECTION_HEADERS.includes(name) && !named.includes(name)
  );
  return Object.fromEntries(kept);
}
