import type { IncomingMessage } from "node:http";
import { containsKey } from "../keys/key_format.ts";

const BEARER_PATTERN = /^Bearer +(\S+) *$/i;
const KEY_HEADERS: ReadonlyArray<string> = ["authorization", "x-api-key"];
const ESCAPE_PATTERN = /%([0-9a-f]{2})/gi;
const MAXIMUM_DECODINGS = 3;

/** The key that a request shows in its headers. */
export type ShownKey =
  | { readonly kind: "none" }
  | { readonly kind: "shown"; readonly key: string }
  | {
    readonly kind: "invalid";
    readonly field: string;
    readonly message: string;
  };

/**
 * Extracts the key from a request and removes the headers that contained it, so that they can't be forwarded
 * to a backend server. A key in any other place makes the request invalid.
 * @param request - The request, whose headers are modified.
 * @example
 * ```ts
 * const shown = extractKey(request);
 * if (shown.kind === "invalid") return refuse(shown);
 * ```
 */
export function extractKey(request: IncomingMessage): ShownKey {
  const authorization = request.headers.authorization;
  const apiKey = request.headers["x-api-key"];
  removeKeyHeaders(request);
  const misplaced = findMisplacedKey(request);
  if (misplaced !== undefined) {
    const message =
      "A key was sent in the wrong place; send it as a bearer key";
    return { kind: "invalid", field: misplaced, message };
  }
  const keys = new Set<string>();
  if (authorization !== undefined) {
    const match = BEARER_PATTERN.exec(authorization);
    if (match === null) {
      const message = "The header must be of the form: Bearer KEY";
      return { kind: "invalid", field: "header authorization", message };
    }
    keys.add(match[1] ?? "");
  }
  if (apiKey !== undefined) keys.add(String(apiKey).trim());
  if (keys.size > 1) {
    const message = "The request has two different keys";
    return { kind: "invalid", field: "header x-api-key", message };
  }
  const [key] = keys;
  return key === undefined ? { kind: "none" } : { kind: "shown", key };
}

// Node.js creates both header objects from the raw list on first access, so they are accessed before the list changes.
function removeKeyHeaders(request: IncomingMessage): void {
  for (const name of KEY_HEADERS) {
    delete request.headers[name];
    delete request.headersDistinct[name];
  }
  const remaining: string[] = [];
  for (let index = 0; index < request.rawHeaders.length; index += 2) {
    const name = request.rawHeaders[index] ?? "";
    if (KEY_HEADERS.includes(name.toLowerCase())) continue;
    remaining.push(name, request.rawHeaders[index + 1] ?? "");
  }
  request.rawHeaders = remaining;
}

function findMisplacedKey(request: IncomingMessage): string | undefined {
  for (let index = 0; index < request.rawHeaders.length; index += 2) {
    const name = request.rawHeaders[index] ?? "";
    const value = request.rawHeaders[index + 1] ?? "";
    if (containsKey(name)) return "header name";
    if (containsEncodedKey(value)) return `header ${name.toLowerCase()}`;
  }
  return containsEncodedKey(request.url ?? "") ? "path or query" : undefined;
}

function containsEncodedKey(text: string): boolean {
  let decoded = text;
  for (let count = 0; count < MAXIMUM_DECODINGS; count += 1) {
    if (containsKey(decoded)) return true;
    decoded = decodeValidEscapes(decoded);
  }
  return containsKey(decoded);
}

// Decodes every valid escape, so that a malformed one elsewhere in the text can't hide a key.
function decodeValidEscapes(text: string): string {
  return text.replace(
    ESCAPE_PATTERN,
    (_, digits: string) => String.fromCharCode(parseInt(digits, 16)),
  );
}
