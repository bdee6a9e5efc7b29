import { MAXIMUM_SAMPLES } from "../steps/step_plan.ts";
import type { Refusal } from "./refusal.ts";

const MAXIMUM_SAMPLE_TOKENS = 1_000_000;
const MAXIMUM_PROMPT_CHARACTERS = 1_000_000;
const MAXIMUM_LOCATION_CHARACTERS = 2048;
const MAXIMUM_CURSOR_CHARACTERS = 4096;
const MAXIMUM_PULL_SAMPLES = 2048;
const DEFAULT_PULL_SAMPLES = 64;
const MAXIMUM_WAIT_MILLISECONDS = 30_000;
const NAME_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;

/** A value that was parsed from a request, or a refusal that names the invalid field. */
export type ParsedInput<Value> =
  | { readonly kind: "input"; readonly value: Value }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Body of a request to publish weights. */
export interface PublicationInput {
  readonly version: number;
  readonly location: string;
}

/** Body of a request to submit a step. */
export interface StepInput {
  readonly step: string;
  readonly groups: ReadonlyArray<GroupInput>;
  readonly stalenessBound?: number;
}

/** One group of samples of a step. */
export interface GroupInput {
  readonly prompt: string;
  readonly samples: number;
  readonly maximumTokens: number;
}

/** Query parameters of a pull. */
export interface PullInput {
  readonly cursor: string;
  /** Maximum number of samples in the response. */
  readonly maximum: number;
  readonly waitMilliseconds: number;
  /** Newest weight version that the trainer published, if the request states it. */
  readonly newestVersion: number | undefined;
}

interface NumberRange {
  readonly minimum: number;
  readonly maximum: number;
}

class InputError extends Error {
  readonly field: string;

  constructor(field: string, message: string) {
    super(message);
    this.field = field;
  }
}

/**
 * Validates the body of a request to publish weights.
 * @param body - The body as parsed from JSON.
 * @example
 * ```ts
 * const input = parsePublication({ version: 7, location: "weights/7" });
 * ```
 */
export function parsePublication(body: unknown): ParsedInput<PublicationInput> {
  return catchInputError(() => {
    const fields = requireObject("body", body);
    return {
      version: requireInteger("version", fields["version"], {
        minimum: 1,
        maximum: Number.MAX_SAFE_INTEGER,
      }),
      location: requireText(
        "location",
        fields["location"],
        MAXIMUM_LOCATION_CHARACTERS,
      ),
    };
  });
}

/**
 * Validates the body of a request to submit a step.
 * @param body - The body as parsed from JSON.
 * @example
 * ```ts
 * const input = parseStep({ step: "17", groups: [{ prompt, samples: 8, maximumTokens: 256 }] });
 * ```
 */
export function parseStep(body: unknown): ParsedInput<StepInput> {
  return catchInputError(() => {
    const fields = requireObject("body", body);
    const step = requireName("step", fields["step"]);
    const groups = parseGroups(fields["groups"]);
    if (fields["stalenessBound"] === undefined) return { step, groups };
    const stalenessBound = requireInteger(
      "stalenessBound",
      fields["stalenessBound"],
      { minimum: 0, maximum: 0xffff_ffff },
    );
    return { step, groups, stalenessBound };
  });
}

/**
 * Validates the query parameters of a pull.
 * @param parameters - Query parameters of the request.
 * @example
 * ```ts
 * const input = parsePull(exchange.url.searchParams);
 * ```
 */
export function parsePull(parameters: URLSearchParams): ParsedInput<PullInput> {
  return catchInputError(() => {
    const cursor = parameters.get("cursor") ?? "";
    if (cursor.length > MAXIMUM_CURSOR_CHARACTERS) {
      throw new InputError(
        "cursor",
        `The cursor is longer than ${MAXIMUM_CURSOR_CHARACTERS} characters`,
      );
    }
    return {
      cursor,
      maximum: readInteger(parameters, "maximum", {
        minimum: 1,
        maximum: MAXIMUM_PULL_SAMPLES,
      }) ?? DEFAULT_PULL_SAMPLES,
      waitMilliseconds: readInteger(parameters, "wait_milliseconds", {
        minimum: 0,
        maximum: MAXIMUM_WAIT_MILLISECONDS,
      }) ?? 0,
      newestVersion: readInteger(parameters, "newest_version", {
        minimum: 0,
        maximum: Number.MAX_SAFE_INTEGER,
      }),
    };
  });
}

function catchInputError<Value>(read: () => Value): ParsedInput<Value> {
  try {
    return { kind: "input", value: read() };
  } catch (error) {
    if (!(error instanceof InputError)) throw error;
    return refuseInvalid(error.field, error.message);
  }
}

function parseGroups(value: unknown): ReadonlyArray<GroupInput> {
  if (!Array.isArray(value) || value.length === 0) {
    throw new InputError(
      "groups",
      "groups must be a list with at least one entry",
    );
  }
  if (value.length > MAXIMUM_SAMPLES) {
    throw new InputError("groups", `groups has ${value.length} entries`);
  }
  const groups = value.map(parseGroup);
  const samples = groups.reduce((sum, group) => sum + group.samples, 0);
  if (samples > MAXIMUM_SAMPLES) {
    throw new InputError(
      "groups",
      `groups ask for ${samples} samples; a step has at most ${MAXIMUM_SAMPLES}`,
    );
  }
  return groups;
}

function parseGroup(value: unknown, position: number): GroupInput {
  const name = `groups[${position}]`;
  const fields = requireObject(name, value);
  return {
    prompt: requireText(
      `${name}.prompt`,
      fields["prompt"],
      MAXIMUM_PROMPT_CHARACTERS,
    ),
    samples: requireInteger(`${name}.samples`, fields["samples"], {
      minimum: 1,
      maximum: MAXIMUM_SAMPLES,
    }),
    maximumTokens: requireInteger(
      `${name}.maximumTokens`,
      fields["maximumTokens"],
      { minimum: 1, maximum: MAXIMUM_SAMPLE_TOKENS },
    ),
  };
}

function requireObject(field: string, value: unknown): Record<string, unknown> {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw new InputError(field, `${field} must be an object`);
  }
  return value as Record<string, unknown>;
}

function requireText(
  field: string,
  value: unknown,
  maximumCharacters: number,
): string {
  if (typeof value !== "string" || value === "") {
    throw new InputError(field, `${field} must be a non-empty string`);
  }
  if (value.length > maximumCharacters) {
    throw new InputError(
      field,
      `${field} is longer than ${maximumCharacters} characters`,
    );
  }
  return value;
}

function requireName(field: string, value: unknown): string {
  if (typeof value === "string" && NAME_PATTERN.test(value)) return value;
  throw new InputError(
    field,
    `${field} must have 1 to 128 letters, digits, dots, hyphens or underscores`,
  );
}

function requireInteger(
  field: string,
  value: unknown,
  range: NumberRange,
): number {
  const isInRange = typeof value === "number" && Number.isSafeInteger(value) &&
    value >= range.minimum && value <= range.maximum;
  if (isInRange) return value;
  throw new InputError(
    field,
    `${field} must be a whole number from ${range.minimum} to ${range.maximum}`,
  );
}

function readInteger(
  parameters: URLSearchParams,
  field: string,
  range: NumberRange,
): number | undefined {
  const text = parameters.get(field);
  if (text === null) return undefined;
  return requireInteger(
    field,
    /^\d{1,16}$/.test(text) ? Number(text) : NaN,
    range,
  );
}

function refuseInvalid(field: string, message: string): {
  readonly kind: "refused";
  readonly refusal: Refusal;
} {
  return {
    kind: "refused",
    refusal: { error: "invalidRequest", message, ran: "notRun", field },
  };
}
