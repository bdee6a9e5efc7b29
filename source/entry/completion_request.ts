import { containsKey } from "../keys/key_format.ts";
import type { Refusal } from "./refusal.ts";

const MAXIMUM_TOKENS = 131_072;
const DEFAULT_TOKENS = 16;
const MAXIMUM_NAME_CHARACTERS = 128;

/** A completion request of a caller. */
export interface CompletionRequest {
  /** Name of the service. */
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly stream: boolean;
  /** Name of the class of work; empty for the default class. */
  readonly classOfWork: string;
}

/** A parsed completion request, or the refusal of an invalid one. */
export type ParsedCompletion =
  | { readonly kind: "parsed"; readonly request: CompletionRequest }
  | { readonly kind: "refused"; readonly refusal: Refusal };

type FieldCheck = (value: unknown) => string | undefined;

const FIELD_CHECKS: Readonly<Record<string, FieldCheck>> = {
  model: checkName,
  prompt: (value) =>
    typeof value === "string" && value !== ""
      ? undefined
      : "must be a non-empty string",
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
 * Validates the body of a completion request.
 * @param body - The body as parsed from JSON.
 * @returns The request, or a refusal `invalidRequest` that names the invalid field.
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
      return refuse(name, "contains a key; send keys in a header");
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
    : `must be a string of 1 to ${MAXIMUM_NAME_CHARACTERS} characters`;
}

function refuse(field: string, problem: string): ParsedCompletion {
  const displayed = containsKey(field) ? "body" : field.slice(0, 64);
  return {
    kind: "refused",
    refusal: {
      error: "invalidRequest",
      message: `Field ${displayed} ${problem}`,
      ran: "notRun",
      field: displayed,
    },
  };
}
