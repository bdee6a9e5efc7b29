import type { PlatformHttpAnswer } from "./platform_connection.ts";
import type { PlatformFailure, PlatformOutcome } from "./platform_outcome.ts";

const REFUSED_STATUSES: ReadonlySet<number> = new Set([
  400,
  401,
  403,
  405,
  413,
  429,
  503,
]);

/** Converts a parsed JSON value; returns undefined when it is malformed. */
export type AnswerReader<Value> = (json: unknown) => Value | undefined;

/** An object of a JSON answer. */
export type JsonObject = Readonly<Record<string, unknown>>;

/**
 * Reads the value of an answer with status 200.
 * @param outcome - Outcome of the call.
 * @param read - Converts the JSON body.
 * @returns The value; `notRun` if the call was not sent or was refused, else `unknown`.
 * @example
 * ```ts
 * const rows = readAnswer(outcome, (json) => isRows(json) ? json : undefined);
 * ```
 */
export function readAnswer<Value>(
  outcome: PlatformOutcome<PlatformHttpAnswer>,
  read: AnswerReader<Value>,
): PlatformOutcome<Value> {
  if (outcome.kind !== "ok") return outcome;
  if (outcome.value.status !== 200) return toFailure(outcome.value);
  return readJson(outcome.value, read);
}

/** Reads the JSON body of an answer with any status. */
export function readJson<Value>(
  answer: PlatformHttpAnswer,
  read: AnswerReader<Value>,
): PlatformOutcome<Value> {
  const value = read(parse(answer.body));
  if (value === undefined) {
    return { kind: "unknown", reason: "The answer's body is malformed" };
  }
  return { kind: "ok", value };
}

/**
 * Reads an answer with status 404, for an absent row or object; the outcome is `unknown` when the
 * body is not a complete JSON object.
 */
export function readNotFound(
  answer: PlatformHttpAnswer,
): PlatformOutcome<undefined> {
  const outcome = readJson(answer, asObject);
  return outcome.kind === "ok" ? { kind: "ok", value: undefined } : outcome;
}

/** Converts an answer with an unexpected status to the failure of its call. */
export function toFailure(answer: PlatformHttpAnswer): PlatformFailure {
  const reason = `The platform answered with status ${answer.status}`;
  const kind = REFUSED_STATUSES.has(answer.status) ? "notRun" : "unknown";
  return { kind, reason };
}

/** Returns a JSON value as an object; undefined when it is not one. */
export function asObject(json: unknown): JsonObject | undefined {
  const isObject = typeof json === "object" && json !== null &&
    !Array.isArray(json);
  return isObject ? json as JsonObject : undefined;
}

/**
 * Returns a JSON string, number or boolean as text; undefined for any other value, whose conversion
 * may throw.
 */
export function asText(json: unknown): string | undefined {
  const isPlain = typeof json === "string" || typeof json === "number" ||
    typeof json === "boolean";
  return isPlain ? String(json) : undefined;
}

/** Converts each entry of an array; returns undefined when one is malformed. */
export function readArray<Value>(
  json: unknown,
  read: AnswerReader<Value>,
): ReadonlyArray<Value> | undefined {
  if (!Array.isArray(json)) return undefined;
  const values = json.map(read);
  return values.every((value) => value !== undefined)
    ? values as Value[]
    : undefined;
}

function parse(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}
