import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { pickAnswerHeaders } from "../backends/forwarded_headers.ts";
import {
  describeError,
  type ExchangeAnswer,
} from "../backends/http_exchange.ts";

/** Result of relaying a response. */
export type RelayOutcome =
  | { readonly kind: "complete" }
  | { readonly kind: "cut"; readonly detail: string };

/**
 * Streams a backend server's response to the caller and reads no faster than the caller does.
 * Closes the caller's connection when the response breaks off.
 * @param answer - Response of the backend server.
 * @param response - Caller's response, to which nothing has been written.
 * @param signal - Stops the relaying when aborted.
 * @example
 * ```ts
 * const outcome = await relayAnswer(answer, response, signal);
 * ```
 */
export async function relayAnswer(
  answer: ExchangeAnswer,
  response: ServerResponse,
  signal: AbortSignal,
): Promise<RelayOutcome> {
  try {
    response.writeHead(answer.status, pickAnswerHeaders(answer.headers));
    for await (const chunk of answer.body) {
      if (!response.write(chunk)) await once(response, "drain", { signal });
    }
    await end(response, signal);
    return { kind: "complete" };
  } catch (error) {
    response.destroy();
    return { kind: "cut", detail: describeError(error) };
  } finally {
    answer.abandon();
  }
}

async function end(
  response: ServerResponse,
  signal: AbortSignal,
): Promise<void> {
  if (response.destroyed) throw new Error("The caller disconnected");
  const finished = once(response, "finish", { signal });
  response.end();
  await finished;
}
