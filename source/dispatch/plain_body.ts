import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";

const MAXIMUM_KEPT_BYTES = 64 * 1024;

/** Body of a plain call on its way to a backend server. */
export interface PlainBody {
  /** Absent when the caller sent none. */
  readonly content?: Buffer | Readable;
  /** Whether it can be sent more than once. */
  readonly replayable: boolean;
}

/**
 * Takes the body of a caller's request: a small one whole, a larger one as a stream.
 * @param request - The caller's request.
 * @returns The body; undefined when the caller's connection was cut.
 * @example
 * ```ts
 * const body = await takePlainBody(request);
 * ```
 */
export async function takePlainBody(
  request: IncomingMessage,
): Promise<PlainBody | undefined> {
  const length = Number(request.headers["content-length"] ?? NaN);
  const chunked = request.headers["transfer-encoding"] !== undefined;
  if (!chunked && !(length > 0)) return { replayable: true };
  if (chunked || length > MAXIMUM_KEPT_BYTES) {
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
