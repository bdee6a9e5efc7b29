import type { EngineTokens, EngineUsage } from "./engine_client.ts";

/** One event of a streamed completion. */
export interface CompletionEvent {
  readonly requestIdentifier: string;
  /** Text and number of the tokens that the event adds. */
  readonly segment: EngineTokens;
  /** Present in the final event only, which has the finish reason. */
  readonly finish?: {
    readonly reason: string;
    readonly usage: EngineUsage;
  };
}

/**
 * Parses the data of one server-sent event from an engine.
 * @param data - Data of the event, a JSON text.
 * @returns The event; undefined when a field is absent or of the wrong type.
 * @example
 * ```ts
 * const event = parseCompletionEvent(data);
 * ```
 */
export function parseCompletionEvent(
  data: string,
): CompletionEvent | undefined {
  const parsed = parseJsonObject(data);
  const choice = asObject(asArray(parsed?.["choices"])?.[0]);
  if (parsed === undefined || choice === undefined) return undefined;
  const requestIdentifier = parsed["request_id"];
  const text = choice["text"];
  const weightVersion = parsed["weight_version"];
  const tokens = parsed["tokens"];
  if (typeof requestIdentifier !== "string" || typeof text !== "string") {
    return undefined;
  }
  if (!isNonNegativeInteger(weightVersion) || !isNonNegativeInteger(tokens)) {
    return undefined;
  }
  const event = { requestIdentifier, segment: { text, tokens, weightVersion } };
  const reason = choice["finish_reason"];
  if (reason === null || reason === undefined) return event;
  const usage = parseUsage(parsed["usage"]);
  if (typeof reason !== "string" || usage === undefined) return undefined;
  return { ...event, finish: { reason, usage } };
}

/**
 * Parses a JSON object.
 * @param text - JSON text.
 * @returns The object; undefined when the text is not a JSON object.
 * @example
 * ```ts
 * const record = parseJsonObject('{"a":1}');
 * ```
 */
export function parseJsonObject(
  text: string,
): Readonly<Record<string, unknown>> | undefined {
  try {
    return asObject(JSON.parse(text));
  } catch {
    return undefined;
  }
}

/**
 * Returns whether a value is a non-negative safe integer.
 * @param value - Any value.
 * @example
 * ```ts
 * isNonNegativeInteger(3); // true
 * ```
 */
export function isNonNegativeInteger(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function parseUsage(value: unknown): EngineUsage | undefined {
  const usage = asObject(value);
  const promptTokens = usage?.["prompt_tokens"];
  const generatedTokens = usage?.["completion_tokens"];
  const cachedTokens = usage?.["cached_tokens"];
  if (
    !isNonNegativeInteger(promptTokens) ||
    !isNonNegativeInteger(generatedTokens)
  ) return undefined;
  if (!isNonNegativeInteger(cachedTokens)) return undefined;
  return { promptTokens, generatedTokens, cachedTokens };
}

function asArray(value: unknown): ReadonlyArray<unknown> | undefined {
  return Array.isArray(value) ? value : undefined;
}

function asObject(
  value: unknown,
): Readonly<Record<string, unknown>> | undefined {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return undefined;
  }
  return value as Readonly<Record<string, unknown>>;
}
