import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Refusal } from "./refusal.ts";

const MAXIMUM_BODY_BYTES = 1_048_576;
const JSON_TYPE_PATTERN = /^application\/json\s*(;|$)/i;

/** A parsed JSON body, or the reason why there is none. */
export type JsonBody =
  | { readonly kind: "read"; readonly value: unknown; readonly text: string }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** The caller disconnected, or the exchange was aborted. */
  | { readonly kind: "gone" };

type BodyRefusal = Extract<JsonBody, { readonly kind: "refused" }>;

/** Options for reading a body. */
export interface BodyOptions {
  /** Signal of the exchange. */
  readonly signal: AbortSignal;
  /** Maximum size of the body in bytes; MAXIMUM_BODY_BYTES by default. */
  readonly maximumBytes?: number;
}

/**
 * Reads the whole body of a request as JSON.
 * @param request - The request.
 * @param options - Signal of the exchange and maximum size in bytes.
 * @returns The value, a refusal `tooLarge` or `invalidRequest`, or `gone`.
 * @example
 * ```ts
 * const body = await readJsonBody(exchange.request, { signal: exchange.signal });
 * if (body.kind === "refused") return sendRefusal(exchange.response, body.refusal);
 * ```
 */
export async function readJsonBody(
  request: IncomingMessage,
  options: BodyOptions,
): Promise<JsonBody> {
  const type = request.headers["content-type"] ?? "application/json";
  if (!JSON_TYPE_PATTERN.test(type)) {
    return refuse("invalidRequest", {
      message: `The content type must be application/json, not ${type}`,
      field: "header content-type",
    });
  }
  const body = await readWholeBody(request, options);
  return body.kind === "read" ? parseJson(body.bytes) : body;
}

/** A whole body, or the reason why there is none. */
export type WholeBody =
  | { readonly kind: "read"; readonly bytes: Buffer }
  | Exclude<JsonBody, { readonly kind: "read" }>;

/**
 * Reads the whole body of a request.
 * @param request - The request.
 * @param options - Signal of the exchange and maximum size in bytes.
 * @returns The bytes, a refusal `tooLarge`, or `gone`.
 * @example
 * ```ts
 * const body = await readWholeBody(exchange.request, { signal: exchange.signal });
 * ```
 */
export async function readWholeBody(
  request: IncomingMessage,
  options: BodyOptions,
): Promise<WholeBody> {
  const maximum = options.maximumBytes ?? MAXIMUM_BODY_BYTES;
  const isTooLong = Number(request.headers["content-length"] ?? 0) > maximum;
  if (isTooLong) return tooLarge(maximum);
  const bytes = await readBytes(request, maximum, options.signal);
  if (bytes === "tooLarge") return tooLarge(maximum);
  if (bytes === "gone") return { kind: "gone" };
  return { kind: "read", bytes };
}

function readBytes(
  request: IncomingMessage,
  maximum: number,
  signal: AbortSignal,
): Promise<Buffer | "tooLarge" | "gone"> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve("gone");
    const chunks: Buffer[] = [];
    let size = 0;
    request.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maximum) chunks.push(chunk);
      else resolve("tooLarge");
    });
    request.on("end", () => resolve(Buffer.concat(chunks)));
    request.on("error", () => resolve("gone"));
    request.on("close", () => resolve("gone"));
    signal.addEventListener("abort", () => resolve("gone"), { once: true });
  });
}

function parseJson(bytes: Buffer): JsonBody {
  const text = bytes.toString("utf8");
  try {
    return { kind: "read", value: JSON.parse(text), text };
  } catch {
    const message = text === ""
      ? "The body is empty"
      : "The body is not valid JSON";
    return refuse("invalidRequest", { message, field: "body" });
  }
}

function tooLarge(maximum: number): BodyRefusal {
  return refuse("tooLarge", {
    message: `The body may have at most ${maximum} bytes`,
    field: "body",
  });
}

function refuse(
  error: "invalidRequest" | "tooLarge",
  options: { readonly message: string; readonly field: string },
): BodyRefusal {
  return { kind: "refused", refusal: { error, ran: "notRun", ...options } };
}
