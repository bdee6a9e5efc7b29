import type { IncomingMessage } from "node:http";
import { containsKey } from "../keys/key_format.ts";

const BEARER_PATTERN = /^Bearer +(\S+) *$/i;
const KEY_HEADERS: ReadonlyArray<string> = ["authorization", "x-api-key"];
const ESCAPE_PATTERN = /%([0-9a-f]{2})/gi;
const MAXIMUM_DECODINGS = 3;

/** What a request shows as its key. */
export type ShownKey =
  | { readonly kind: "none" }
  | { readonly kind: "shown"; readonly key: string }
  | {
    readonly kind: "invalid";
    readonly field: string;
    readonly message: string;
  };

/**
 * Takes the key from a request and removes the headers that carried it, so that nothing behind
 * the entry can pass them on. A key in any other place is refused.
 * @param request - The request; its headers are changed.
 * @example
 * ```ts
 * const shown = takeShownKey(request);
 * if (shown.kind === "invalid") return refuse(shown);
 * ```
 */
export function takeShownKey(request: IncomingMessage): ShownKey {
  const authorization = request.headers.authorization;
  const apiKey = request.headers["x-api-key"];
  removeKeyHeaders(request);
  const misplaced = findMisplacedKey(request);
  if (misplaced !== undefined) {
    const message = "A key stands where none belongs; show it as a bearer key";
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
    const message = "Two different keys are shown";
    return { kind: "invalid", field: "header x-api-key", message };
  }
  const [key] = keys;
  return key === undefined ? { kind: "none" } : { kind: "shown", key };
}

// Node.js derives both header objects from the raw list when first read, so they are read first.
function removeKeyHeaders(request: IncomingMessage): void {
  for (const name of KEY_HEADERS) {
    delete request.headers[name];
    delete request.headersDistinct[name];
  }
  const kept: string[] = [];
  for (let index = 0; index < request.rawHeaders.length; index += 2) {
    const name = request.rawHeaders[index] ?? "";
    if (KEY_HEADERS.includes(name.toLowerCase())) continue;
    kept.push(name, request.rawHeaders[index + 1] ?? "");
  }
  request.rawHeaders = kept;
}

function findMisplacedKey(request: IncomingMessage): string | undefined {
  for (let index = 0; index < request.rawHeaders.length; index += 2) {
    const name = request.rawHeaders[index] ?? "";
    const value = request.rawHeaders[index + 1] ?? "";
    if (containsKey(name)) return "header name";
    if (hasKeyDecoded(value)) return `header ${name.toLowerCase()}`;
  }
  return hasKeyDecoded(request.url ?? "") ? "path or query" : undefined;
}

function hasKeyDecoded(text: string): boolean {
  let decoded = text;
  for (let count = 0; count < MAXIMUM_DECODINGS; count += 1) {
    if (containsKey(decoded)) return true;
    decoded = decodeLeniently(decoded);
  }
  return containsKey(decoded);
}

// A malformed escape elsewhere in the text must not hide a key.
function decodeLeniently(text: string): string {
  return text.replace(
    ESCAPE_PATTERN,
    (_, digits: string) => String.fromCharCode(parseInt(digits, 16)),
  );
}
