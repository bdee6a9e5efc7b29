import type { ServerResponse } from "node:http";
import { estimatePromptTokens } from "../../source/backends/prefix_digest.ts";
import type { BatchJob } from "./batch_scheduler.ts";
import type { CompletionBody } from "./completion_body.ts";
import { countTokens, generateToken, naturalLength } from "./generated_text.ts";

/** What a streamed completion needs. */
export interface CompletionStreamWriterOptions {
  readonly requestIdentifier: string;
  readonly cachedTokens: number;
  readonly seed: number;
  readonly variesLengths: boolean;
  /** Returns the version that generates now. */
  readonly weightVersion: () => number;
  readonly onFinished: () => void;
}

/** Writes one completion as server-sent events while a batch scheduler generates it. */
export class CompletionStreamWriter implements BatchJob {
  /** Smaller runs first. */
  readonly priority: number;
  /** Prompt tokens that were not cached. */
  readonly prefillTokens: number;
  /** Tokens to generate. */
  readonly tokens: number;
  readonly #body: CompletionBody;
  readonly #response: ServerResponse;
  readonly #options: CompletionStreamWriterOptions;
  readonly #startPosition: number;
  readonly #stopsEarly: boolean;
  #generated = 0;

  /**
   * @param body - The completion.
   * @param response - Where it goes.
   * @param options - The rest.
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
    const whole = this.#startPosition + body.maximumTokens;
    const length = options.variesLengths
      ? naturalLength(body.prompt, whole)
      : whole;
    this.#stopsEarly = length < whole;
    this.priority = body.priority;
    this.tokens = Math.max(0, length - this.#startPosition);
    const promptTokens = estimatePromptTokens(body.prompt);
    this.prefillTokens = Math.max(0, promptTokens - options.cachedTokens);
  }

  /** Writes a comment, so that the connection is not silent. */
  onWaiting(): void {
    this.#response.write(": waiting\n\n");
  }

  /** Writes newly generated tokens, and the end after the last one. */
  onTokens(count: number): void {
    const text = this.#nextText(count);
    const finished = this.#generated === this.tokens;
    this.#writeEvent(text, count, finished);
    if (!finished) return;
    this.#response.end("data: [DONE]\n\n");
    this.#options.onFinished();
  }

  #nextText(count: number): string {
    const { seed } = this.#options;
    const weightVersion = this.#options.weightVersion();
    let text = "";
    for (let index = 0; index < count; index += 1) {
      const position = this.#startPosition + this.#generated;
      text += generateToken(this.#body.prompt, {
        seed,
        position,
        weightVersion,
      });
      this.#generated += 1;
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
      ...(finished ? { usage: this.#usage() } : {}),
    };
    this.#response.write(`data: ${JSON.stringify(event)}\n\n`);
  }

  #usage(): Readonly<Record<string, number>> {
    return {
      ["prompt_tokens"]: estimatePromptTokens(this.#body.prompt),
      ["completion_tokens"]: this.#generated,
      ["cached_tokens"]: this.#options.cachedTokens,
    };
  }
}
