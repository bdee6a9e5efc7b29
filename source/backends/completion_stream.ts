import {
  type CompletionEvent,
  parseCompletionEvent,
} from "./completion_event.ts";
import type { EngineOutcome, EngineTokens } from "./engine_client.ts";
import { BrokenInvariantError } from "../utilities/invariant.ts";
import {
  describeError,
  type ExchangeAnswer,
  findCause,
} from "./http_exchange.ts";
import { readServerSentEvents } from "./sse_reader.ts";

const END_OF_STREAM = "[DONE]";

/** What a completion's stream must match. */
export interface CompletionStreamOptions {
  readonly requestIdentifier: string;
  readonly startIdentity: string;
  readonly maximumTokens: number;
  readonly onTokens: (tokens: EngineTokens) => void;
}

/**
 * Reads a streamed completion to its end marker. Whatever ends sooner is `unknown`.
 * @param answer - The engine's answer, with a stream as its body.
 * @param options - What the stream must match.
 * @example
 * ```ts
 * const outcome = await readCompletionStream(answer, options);
 * ```
 */
export async function readCompletionStream(
  answer: ExchangeAnswer,
  options: CompletionStreamOptions,
): Promise<EngineOutcome> {
  const events = readServerSentEvents(answer.body);
  const outcome = await readToEndMarker(events, options);
  if (outcome.kind === "finished") void drain(events, answer);
  else answer.abandon();
  return outcome;
}

async function readToEndMarker(
  events: AsyncIterator<string>,
  options: CompletionStreamOptions,
): Promise<EngineOutcome> {
  let last: CompletionEvent | undefined;
  let counted = 0;
  try {
    for (;;) {
      const next = await events.next();
      if (next.done) return cut("Stream ended before its end marker");
      if (next.value === END_OF_STREAM) {
        return toOutcome(last, counted, options);
      }
      const event = parseCompletionEvent(next.value);
      if (event === undefined) return untrusted("Event was not understood");
      const fault = findFault(event, last, options);
      if (fault !== undefined) return untrusted(fault);
      last = event;
      counted += event.tokens.tokens;
      if (counted > options.maximumTokens) {
        return untrusted("Stream has more tokens than were asked for");
      }
      if (event.tokens.tokens > 0) options.onTokens(event.tokens);
    }
  } catch (error) {
    if (error instanceof BrokenInvariantError) throw error;
    const reason = describeError(error);
    return { kind: "unknown", reason, cause: findCause(error) };
  }
}

// Reads to the end of the body, so that the connection can serve another request.
async function drain(
  events: AsyncGenerator<string>,
  answer: ExchangeAnswer,
): Promise<void> {
  try {
    await events.next();
  } catch {
    // The completion is whole already.
  }
  answer.abandon();
}

function findFault(
  event: CompletionEvent,
  last: CompletionEvent | undefined,
  options: CompletionStreamOptions,
): string | undefined {
  if (event.requestIdentifier !== options.requestIdentifier) {
    return `Event belongs to request ${event.requestIdentifier}`;
  }
  if (last?.finish !== undefined) return "Event came after the last one";
  if (event.tokens.tokens === 0 && event.tokens.text !== "") {
    return "Event had text of no token";
  }
  return undefined;
}

function toOutcome(
  last: CompletionEvent | undefined,
  counted: number,
  options: CompletionStreamOptions,
): EngineOutcome {
  const finish = last?.finish;
  if (finish === undefined) return untrusted("Stream had no last event");
  if (finish.usage.generatedTokens !== counted) {
    return untrusted(
      `Stream had ${counted} of ${finish.usage.generatedTokens} tokens`,
    );
  }
  return {
    kind: "finished",
    startIdentity: options.startIdentity,
    finishReason: finish.reason,
    usage: finish.usage,
  };
}

function untrusted(reason: string): EngineOutcome {
  return { kind: "unknown", reason, cause: "untrusted" };
}

function cut(reason: string): EngineOutcome {
  return { kind: "unknown", reason, cause: "cut" };
}
