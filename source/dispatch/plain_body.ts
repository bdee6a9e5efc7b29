import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";

/** Maximum length of a body that is read into memory. */
const MAXIMUM_BUFFERED_BYTES = 64 * 1024;

/** Body of a plain call. */
export interface PlainBody {
  /** Content of the body; absent when the caller sent none. */
  readonly content?: Buffer | Readable;
  /** Whether the body can be sent more than once. */
  readonly replayable: boolean;
}

/**
 * Reads a small body into memory, so that it can be sent again, and returns a larger or chunked one
 * as a stream.
 * @param request - Caller's request.
 * @returns The body; undefined when the caller disconnected.
 * @example
 * ```ts
 * const body = await readPlainBody(request);
 * ```
 */
export async function readPlainBody(
  request: IncomingMessage,
): Promise<PlainBody | undefined> {
  const length = Number(request.headers["content-length"] ?? NaN);
  const chunked = request.headers["transfer-encoding"] !== undefined;
  if (!chunked && !(length > 0)) return { replayable: true };
  if (chunked || length > MAXIMUM_BUFFERED_BYTES) {
    return { content: request, replayable: false };
  }
  const content = await readWhole(request);
  return content === undefined ? undefined : { content, replayable: true };
}

async function readWhole(
  request: IncomingMessage,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}
