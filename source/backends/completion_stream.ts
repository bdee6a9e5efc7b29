import {
  type CompletionEvent,
  parseCompletionEvent,
} from "./completion_event.ts";
import type { EngineOutcome, EngineTokens } from "./engine_client.ts";
import { BrokenInvariantError } from "../utilities/invariant.ts";
import {
  describeError,
  type ExchangeAnswer,
  toFailureCause,
} from "./http_exchange.ts";
import { readServerSentEvents } from "./sse_reader.ts";

const END_OF_STREAM = "[DONE]";

/** Expected request identifier, engine incarnation, token limit, and receiver of the tokens. */
export interface CompletionStreamOptions {
  readonly requestIdentifier: string;
  readonly startIdentity: string;
  readonly maximumTokens: number;
  readonly onTokens: (tokens: EngineTokens) => void;
}

/**
 * Reads a streamed completion up to its end marker. The outcome is `unknown` when the stream fails,
 * ends before the marker, is malformed or is inconsistent.
 * @param answer - Answer of the engine, with a stream as its body.
 * @param options - Expected request identifier, engine incarnation, token limit, and receiver.
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
  if (outcome.kind === "finished") void readRemainder(events, answer);
  else answer.abandon();
  return outcome;
}

async function readToEndMarker(
  events: AsyncIterator<string>,
  options: CompletionStreamOptions,
): Promise<EngineOutcome> {
  let lastEvent: CompletionEvent | undefined;
  let receivedTokens = 0;
  try {
    for (;;) {
      const next = await events.next();
      if (next.done) {
        return createCutOutcome("Stream ended before its end marker");
      }
      if (next.value === END_OF_STREAM) {
        return toOutcome(lastEvent, receivedTokens, options);
      }
      const event = parseCompletionEvent(next.value);
      if (event === undefined) {
        return createUntrustedOutcome("Event is malformed");
      }
      const fault = findInconsistency(event, lastEvent, options);
      if (fault !== undefined) return createUntrustedOutcome(fault);
      lastEvent = event;
      receivedTokens += event.segment.tokens;
      if (receivedTokens > options.maximumTokens) {
        return createUntrustedOutcome(
          "Stream exceeds the requested number of tokens",
        );
      }
      if (event.segment.tokens > 0) options.onTokens(event.segment);
    }
  } catch (error) {
    if (error instanceof BrokenInvariantError) throw error;
    const reason = describeError(error);
    return { kind: "unknown", reason, cause: toFailureCause(error) };
  }
}

// Reads once more to reach the end of the body, so that the connection can be reused. If another
// event follows instead, `abandon` closes the connection.
async function readRemainder(
  events: AsyncGenerator<string>,
  answer: ExchangeAnswer,
): Promise<void> {
  try {
    await events.next();
  } catch {
    // The outcome is already decided, so a failure here doesn't change it.
  }
  answer.abandon();
}

function findInconsistency(
  event: CompletionEvent,
  lastEvent: CompletionEvent | undefined,
  options: CompletionStreamOptions,
): string | undefined {
  if (event.requestIdentifier !== options.requestIdentifier) {
    return `Event belongs to request ${event.requestIdentifier}`;
  }
  if (lastEvent?.finish !== undefined) {
    return "Event follows the event with the finish reason";
  }
  if (event.segment.tokens === 0 && event.segment.text !== "") {
    return "Event has text but no token";
  }
  return undefined;
}

function toOutcome(
  lastEvent: CompletionEvent | undefined,
  receivedTokens: number,
  options: CompletionStreamOptions,
): EngineOutcome {
  const finish = lastEvent?.finish;
  if (finish === undefined) {
    return createUntrustedOutcome("Stream has no event with a finish reason");
  }
  if (finish.usage.generatedTokens !== receivedTokens) {
    return createUntrustedOutcome(
      `Stream has ${receivedTokens} tokens, but its usage reports ${finish.usage.generatedTokens}`,
    );
  }
  return {
    kind: "finished",
    startIdentity: options.startIdentity,
    finishReason: finish.reason,
    usage: finish.usage,
  };
}

function createUntrustedOutcome(reason: string): EngineOutcome {
  return { kind: "unknown", reason, cause: "untrusted" };
}

function createCutOutcome(reason: string): EngineOutcome {
  return { kind: "unknown", reason, cause: "cut" };
}
