import type { ServerResponse } from "node:http";
import { estimatePromptTokens } from "../../source/backends/prefix_digest.ts";
import type { BatchJob } from "./batch_scheduler.ts";
import type { CompletionBody } from "./completion_body.ts";
import {
  computeStopLength,
  countTokens,
  generateToken,
} from "./generated_text.ts";

/** Options of a streamed completion. */
export interface CompletionStreamWriterOptions {
  readonly requestIdentifier: string;
  readonly cachedTokens: number;
  readonly seed: number;
  readonly variesLengths: boolean;
  /** Returns the weight version that generates now. */
  readonly weightVersion: () => number;
  readonly onFinished: () => void;
}

/** Writes one completion as server-sent events while a batch scheduler generates it. */
export class CompletionStreamWriter implements BatchJob {
  /** Priority of the job; a smaller number runs first. */
  readonly priority: number;
  /** Number of prompt tokens that were not cached. */
  readonly prefillTokens: number;
  /** Number of tokens to generate. */
  readonly tokens: number;
  readonly #body: CompletionBody;
  readonly #response: ServerResponse;
  readonly #options: CompletionStreamWriterOptions;
  readonly #startPosition: number;
  readonly #stopsEarly: boolean;
  #generatedTokens = 0;

  /**
   * @param body - Parsed body of the completion request.
   * @param response - HTTP response to which the events are written.
   * @param options - Cached tokens, seed and callbacks of the engine.
   */
  constructor(
    body: CompletionBody,
    response: ServerResponse,
    options: CompletionStreamWriterOptions,
  ) {
    this.#body = body;
    this.#response = response;
    this.#options = options;
    this.#startPosition = countTokens(body.resumeText);
    const requestedLength = this.#startPosition + body.maximumTokens;
    const length = options.variesLengths
      ? computeStopLength(body.prompt, requestedLength)
      : requestedLength;
    this.#stopsEarly = length < requestedLength;
    this.priority = body.priority;
    this.tokens = Math.max(0, length - this.#startPosition);
    const promptTokens = estimatePromptTokens(body.prompt);
    this.prefillTokens = Math.max(0, promptTokens - options.cachedTokens);
  }

  /** Writes a comment, so that the client does not treat the connection as silent. */
  onWaiting(): void {
    this.#response.write(": waiting\n\n");
  }

  /** Writes an event with newly generated tokens, and ends the stream after the last token. */
  onTokens(count: number): void {
    const text = this.#generateNextText(count);
    const finished = this.#generatedTokens === this.tokens;
    this.#writeEvent(text, count, finished);
    if (!finished) return;
    this.#response.end("data: [DONE]\n\n");
    this.#options.onFinished();
  }

  #generateNextText(count: number): string {
    const { seed } = this.#options;
    const weightVersion = this.#options.weightVersion();
    let text = "";
    for (let index = 0; index < count; index += 1) {
      const position = this.#startPosition + this.#generatedTokens;
      text += generateToken(this.#body.prompt, {
        seed,
        position,
        weightVersion,
      });
      this.#generatedTokens += 1;
    }
    return text;
  }

  #writeEvent(text: string, tokens: number, finished: boolean): void {
    const reason = this.#stopsEarly ? "stop" : "length";
    const choice = {
      index: 0,
      text,
      ["finish_reason"]: finished ? reason : null,
    };
    const event = {
      ["request_id"]: this.#options.requestIdentifier,
      choices: [choice],
      ["weight_version"]: this.#options.weightVersion(),
      tokens,
      ...(finished ? { usage: this.#createUsage() } : {}),
    };
    this.#response.write(`data: ${JSON.stringify(event)}\n\n`);
  }

  #createUsage(): Readonly<Record<string, number>> {
    return {
      ["prompt_tokens"]: estimatePromptTokens(this.#body.prompt),
      ["completion_tokens"]: this.#generatedTokens,
      ["cached_tokens"]: this.#options.cachedTokens,
    };
  }
}
