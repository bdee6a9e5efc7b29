import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { pickAnswerHeaders } from "../backends/forwarded_headers.ts";
import {
  describeError,
  type ExchangeAnswer,
} from "../backends/http_exchange.ts";

/** How the relaying of an answer ended. */
export type RelayOutcome =
  | { readonly kind: "whole" }
  | { readonly kind: "cut"; readonly detail: string };

/**
 * Streams an answer to the caller as fast as the caller takes it. A cut answer cuts the caller's connection.
 * @param answer - The backend server's answer.
 * @param response - The caller's response, of which nothing has been written.
 * @param signal - Ends the relaying when aborted.
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
    return { kind: "whole" };
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
  if (response.destroyed) throw new Error("Caller has gone");
  const finished = once(response, "finish", { signal });
  response.end();
  await finished;
}
