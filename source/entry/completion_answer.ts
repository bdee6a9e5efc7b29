import type { ServerResponse } from "node:http";
import type { EngineTokens } from "../backends/engine_client.ts";
import type { FinishedCompletion } from "../dispatch/dispatcher.ts";

/** What all parts of one answer state. */
export interface AnswerIdentity {
  readonly requestIdentifier: string;
  readonly model: string;
  /** Seconds since the Unix epoch. */
  readonly created: number;
}

/**
 * Sends a completion whole.
 * @param response - The response to end.
 * @param identity - What the answer states of itself.
 * @param completion - The completion.
 * @example
 * ```ts
 * sendWholeCompletion(response, identity, outcome);
 * ```
 */
export function sendWholeCompletion(
  response: ServerResponse,
  identity: AnswerIdentity,
  completion: FinishedCompletion,
): void {
  const body = {
    ...describe(identity),
    choices: [{
      index: 0,
      text: completion.text,
      finish_reason: completion.finishReason,
    }],
    ...describeEnd(completion),
  };
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(body) + "\n");
}

/** Writes a completion's tokens as server-sent events while they come. */
export class CompletionStream {
  readonly #response: ServerResponse;
  readonly #identity: AnswerIdentity;
  #tokens = 0;

  /**
   * @param response - The response to write.
   * @param identity - What the answer states of itself.
   */
  constructor(response: ServerResponse, identity: AnswerIdentity) {
    this.#response = response;
    this.#identity = identity;
  }

  /** Returns the number of tokens written. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Writes the tokens of one event. */
  write(tokens: EngineTokens): void {
    this.#tokens += tokens.tokens;
    this.#writeEvent({
      ...describe(this.#identity),
      choices: [{ index: 0, text: tokens.text, finish_reason: null }],
      snipepath: { weight_versions: [tokens.weightVersion] },
    });
  }

  /** Writes the closing events and ends the response. */
  end(completion: FinishedCompletion): void {
    this.#writeEvent({
      ...describe(this.#identity),
      choices: [{
        index: 0,
        text: "",
        finish_reason: completion.finishReason,
      }],
      ...describeEnd(completion),
    });
    this.#response.end("data: [DONE]\n\n");
  }

  #writeEvent(event: unknown): void {
    if (this.#response.writableEnded || this.#response.destroyed) return;
    if (!this.#response.headersSent) {
      this.#response.setHeader("content-type", "text/event-stream");
      this.#response.setHeader("cache-control", "no-store");
    }
    this.#response.write(`data: ${JSON.stringify(event)}\n\n`);
  }
}

function describe(identity: AnswerIdentity): Readonly<Record<string, unknown>> {
  return {
    id: identity.requestIdentifier,
    object: "text_completion",
    created: identity.created,
    model: identity.model,
  };
}

function describeEnd(
  completion: FinishedCompletion,
): Readonly<Record<string, unknown>> {
  const { usage, stretches } = completion;
  return {
    usage: {
      prompt_tokens: usage.promptTokens,
      completion_tokens: usage.generatedTokens,
      total_tokens: usage.promptTokens + usage.generatedTokens,
      prompt_tokens_details: { cached_tokens: usage.cachedTokens },
    },
    snipepath: {
      weight_versions: [
        ...new Set(stretches.map((stretch) => stretch.weightVersion)),
      ],
      stretches: stretches.map(({ weightVersion, tokens }) => ({
        weight_version: weightVersion,
        tokens,
      })),
    },
  };
}
