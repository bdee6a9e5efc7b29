import type { FailureCause } from "../backends/failure_cause.ts";
import {
  type ExchangeFailure,
  toFailureCause,
} from "../backends/http_exchange.ts";
import type { ServerAnswer } from "../backends/server_client.ts";

/** Maximum size of a response that is buffered whole; a larger one is streamed to the caller. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

/**
 * Causes that say nothing against the server or the path to it: it refused, or it left the servers
 * that get requests just before the send.
 */
const UNAVAILABLE: ReadonlySet<FailureCause> = new Set([
  "refused",
  "withheld",
]);

/** The result of one attempt of a call. */
export type AttemptResult =
  | {
    readonly kind: "complete";
    readonly status: number;
    readonly answer: ServerAnswer;
    readonly body: Buffer;
  }
  | { readonly kind: "streaming"; readonly answer: ServerAnswer }
  | {
    readonly kind: "notRun";
    /**
     * Whether the server refused the request or no server was available; neither counts as a
     * failure.
     */
    readonly isRefused: boolean;
  }
  | {
    readonly kind: "failed";
    readonly reason: string;
    readonly cause: FailureCause;
  };

/**
 * Converts the answer to one attempt, whose body is buffered unless it is streamed.
 * @param answer - The answer or the failure.
 * @param isStreaming - Whether the body is passed on as it arrives.
 */
export async function toAttemptResult(
  answer: ServerAnswer | ExchangeFailure,
  isStreaming: boolean,
): Promise<AttemptResult> {
  if (answer.kind !== "answered") {
    return answer.kind === "notRun"
      ? { kind: "notRun", isRefused: UNAVAILABLE.has(answer.cause) }
      : { kind: "failed", reason: answer.reason, cause: answer.cause };
  }
  if (answer.signature === undefined) {
    answer.abandon();
    return {
      kind: "failed",
      reason: "The response has no signature",
      cause: "untrusted",
    };
  }
  if (isStreaming) return { kind: "streaming", answer };
  return await bufferBody(answer);
}

/**
 * Buffers a response; returns a stream when it is larger than MAXIMUM_BUFFERED_BYTES.
 * @param answer - The response, whose body has not been read.
 */
export async function bufferBody(answer: ServerAnswer): Promise<AttemptResult> {
  const chunks: Buffer[] = [];
  const iterator = answer.body[Symbol.asyncIterator]();
  let bytes = 0;
  try {
    for (;;) {
      const next = await iterator.next();
      if (next.done === true) break;
      chunks.push(next.value);
      bytes += next.value.length;
      if (bytes > MAXIMUM_BUFFERED_BYTES) {
        const body = continueBody(chunks, iterator);
        return { kind: "streaming", answer: { ...answer, body } };
      }
    }
  } catch (error) {
    return {
      kind: "failed",
      reason: `Response body was cut off: ${String(error)}`,
      cause: toFailureCause(error),
    };
  }
  const body = Buffer.concat(chunks);
  return { kind: "complete", status: answer.status, answer, body };
}

async function* continueBody(
  chunks: ReadonlyArray<Buffer>,
  rest: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  yield* chunks;
  yield* { [Symbol.asyncIterator]: () => rest };
}
