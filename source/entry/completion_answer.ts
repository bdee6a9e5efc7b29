import type { ServerResponse } from "node:http";
import type { EngineTokens } from "../backends/engine_client.ts";
import type { FinishedCompletion } from "../dispatch/dispatcher.ts";

/**
 * Identifier, model and creation time of a completion, sent in the JSON object or in each event of
 * the stream.
 */
export interface CompletionMetadata {
  readonly requestIdentifier: string;
  readonly model: string;
  /** Seconds since the Unix epoch. */
  readonly created: number;
}

/**
 * Sends a finished completion as one JSON object.
 * @param response - The response to end.
 * @param metadata - Identifier, model and creation time of the completion.
 * @param completion - The finished completion.
 * @example
 * ```ts
 * sendCompletion(response, metadata, completion);
 * ```
 */
export function sendCompletion(
  response: ServerResponse,
  metadata: CompletionMetadata,
  completion: FinishedCompletion,
): void {
  const body = {
    ...toCommonFields(metadata),
    choices: [{
      index: 0,
      text: completion.text,
      finish_reason: completion.finishReason,
    }],
    ...toUsageFields(completion),
  };
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(body) + "\n");
}

/** Streams the tokens of a completion as server-sent events. */
export class CompletionStream {
  readonly #response: ServerResponse;
  readonly #metadata: CompletionMetadata;
  /** Number of tokens passed to `write`, also if the response had ended by then. */
  #tokenCount = 0;

  /**
   * @param response - The response to which events are written.
   * @param metadata - Identifier, model and creation time of the completion.
   */
  constructor(response: ServerResponse, metadata: CompletionMetadata) {
    this.#response = response;
    this.#metadata = metadata;
  }

  /** Returns the number of tokens that were passed to `write`. */
  get tokens(): number {
    return this.#tokenCount;
  }

  /** Writes an event with generated tokens. */
  write(generated: EngineTokens): void {
    this.#tokenCount += generated.tokens;
    this.#writeEvent({
      ...toCommonFields(this.#metadata),
      choices: [{ index: 0, text: generated.text, finish_reason: null }],
      snipepath: { weight_versions: [generated.weightVersion] },
    });
  }

  /** Writes the final events and ends the response. */
  end(completion: FinishedCompletion): void {
    this.#writeEvent({
      ...toCommonFields(this.#metadata),
      choices: [{
        index: 0,
        text: "",
        finish_reason: completion.finishReason,
      }],
      ...toUsageFields(completion),
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

function toCommonFields(
  metadata: CompletionMetadata,
): Readonly<Record<string, unknown>> {
  return {
    id: metadata.requestIdentifier,
    object: "text_completion",
    created: metadata.created,
    model: metadata.model,
  };
}

function toUsageFields(
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
