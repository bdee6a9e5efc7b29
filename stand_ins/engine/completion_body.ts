import { parseJsonObject } from "../../source/backends/completion_event.ts";

/** The parsed body of a completion request. */
export interface CompletionBody {
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly priority: number;
  readonly cacheSalt: string;
  readonly resumeText: string;
}

/**
 * Parses the body of a completion request.
 * @param text - Body of the request, as JSON.
 * @returns The body, or undefined if a required field is absent or has the wrong type.
 * @example
 * ```ts
 * const body = parseCompletionBody(text);
 * ```
 */
export function parseCompletionBody(text: string): CompletionBody | undefined {
  const record = parseJsonObject(text);
  if (record === undefined) return undefined;
  const { prompt, priority } = record;
  const maximumTokens = record["max_tokens"];
  if (typeof prompt !== "string" || record["stream"] !== true) return undefined;
  if (!Number.isSafeInteger(maximumTokens)) return undefined;
  return {
    prompt,
    maximumTokens: maximumTokens as number,
    priority: typeof priority === "number" ? priority : 0,
    cacheSalt: String(record["cache_salt"] ?? ""),
    resumeText: String(record["resume_text"] ?? ""),
  };
}
