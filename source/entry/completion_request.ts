import { containsKey } from "../keys/key_format.ts";
import type { Refusal } from "./refusal.ts";

const MAXIMUM_TOKENS = 131_072;
const DEFAULT_TOKENS = 16;
const MAXIMUM_NAME_CHARACTERS = 128;

/** A completion as a caller asks for it. */
export interface CompletionRequest {
  /** Name of the service. */
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly stream: boolean;
  /** Name of the class of work; empty for the default. */
  readonly classOfWork: string;
}

/** A parsed completion, or why there is none. */
export type ParsedCompletion =
  | { readonly kind: "parsed"; readonly request: CompletionRequest }
  | { readonly kind: "refused"; readonly refusal: Refusal };

type FieldCheck = (value: unknown) => string | undefined;

const FIELD_CHECKS: Readonly<Record<string, FieldCheck>> = {
  model: checkName,
  prompt: (value) =>
    typeof value === "string" && value !== ""
      ? undefined
      : "must be a text that is not empty",
  "max_tokens": (value) =>
    Number.isInteger(value) && Number(value) >= 1 &&
      Number(value) <= MAXIMUM_TOKENS
      ? undefined
      : `must be a whole number from 1 to ${MAXIMUM_TOKENS}`,
  stream: (value) =>
    typeof value === "boolean" ? undefined : "must be true or false",
  class: checkName,
  n: (value) => value === 1 ? undefined : "must be 1",
  user: checkName,
};

/**
 * Checks a completion's body.
 * @param body - The parsed JSON.
 * @returns The completion, or a refusal `invalidRequest` that names the field.
 * @example
 * ```ts
 * const parsed = parseCompletion(body.value);
 * if (parsed.kind === "refused") return sendRefusal(response, parsed.refusal);
 * ```
 */
export function parseCompletion(body: unknown): ParsedCompletion {
  if (typeof body !== "object" || body === null || Array.isArray(body)) {
    return refuse("body", "must be a JSON object");
  }
  const fields = new Map<string, unknown>(Object.entries(body));
  for (const [name, value] of fields) {
    const check = Object.hasOwn(FIELD_CHECKS, name)
      ? FIELD_CHECKS[name]
      : undefined;
    if (check === undefined) return refuse(name, "is not supported");
    const problem = check(value);
    if (problem !== undefined) return refuse(name, problem);
    if (typeof value === "string" && containsKey(value)) {
      return refuse(name, "contains a key; keys belong in a header");
    }
  }
  for (const name of ["model", "prompt"]) {
    if (!fields.has(name)) return refuse(name, "is missing");
  }
  return {
    kind: "parsed",
    request: {
      model: String(fields.get("model")),
      prompt: String(fields.get("prompt")),
      maximumTokens: Number(fields.get("max_tokens") ?? DEFAULT_TOKENS),
      stream: fields.get("stream") === true,
      classOfWork: String(fields.get("class") ?? ""),
    },
  };
}

function checkName(value: unknown): string | undefined {
  const isName = typeof value === "string" && value !== "" &&
    value.length <= MAXIMUM_NAME_CHARACTERS;
  return isName
    ? undefined
    : `must be a text of 1 to ${MAXIMUM_NAME_CHARACTERS} characters`;
}

function refuse(field: string, problem: string): ParsedCompletion {
  const shown = containsKey(field) ? "body" : field.slice(0, 64);
  return {
    kind: "refused",
    refusal: {
      error: "invalidRequest",
      message: `Field ${shown} ${problem}`,
      ran: "notRun",
      field: shown,
    },
  };
}
