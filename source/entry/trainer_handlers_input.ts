import { MAXIMUM_SAMPLES } from "../steps/step_plan.ts";
import type { Refusal } from "./refusal.ts";

const MAXIMUM_TOKENS = 1_000_000;
const MAXIMUM_PROMPT_CHARACTERS = 1_000_000;
const MAXIMUM_LOCATION_CHARACTERS = 2048;
const MAXIMUM_CURSOR_CHARACTERS = 4096;
const MAXIMUM_PULL_SAMPLES = 2048;
const DEFAULT_PULL_SAMPLES = 64;
const MAXIMUM_WAIT_MILLISECONDS = 30_000;
const NAME_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;

/** A value read from a request, or the refusal that names the field at fault. */
export type Input<Value> =
  | { readonly kind: "input"; readonly value: Value }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Body of a publication. */
export interface PublicationInput {
  readonly version: number;
  readonly location: string;
}

/** Body of a step. */
export interface StepInput {
  readonly step: string;
  readonly groups: ReadonlyArray<GroupInput>;
  readonly stalenessBound?: number;
}

/** One group of a step. */
export interface GroupInput {
  readonly prompt: string;
  readonly samples: number;
  readonly maximumTokens: number;
}

/** Parameters of a pull. */
export interface PullInput {
  readonly cursor: string;
  readonly maximum: number;
  readonly waitMilliseconds: number;
  readonly newestVersion: number | undefined;
}

interface NumberRange {
  readonly minimum: number;
  readonly maximum: number;
}

class InputFault extends Error {
  readonly field: string;

  constructor(field: string, message: string) {
    super(message);
    this.field = field;
  }
}

/**
 * Checks the body of a publication.
 * @param body - The parsed body.
 * @example
 * ```ts
 * const input = checkPublication({ version: 7, location: "weights/7" });
 * ```
 */
export function checkPublication(body: unknown): Input<PublicationInput> {
  return check(() => {
    const fields = toObject("body", body);
    return {
      version: toInteger("version", fields["version"], {
        minimum: 1,
        maximum: Number.MAX_SAFE_INTEGER,
      }),
      location: toText(
        "location",
        fields["location"],
        MAXIMUM_LOCATION_CHARACTERS,
      ),
    };
  });
}

/**
 * Checks the body of a step.
 * @param body - The parsed body.
 * @example
 * ```ts
 * const input = checkStep({ step: "17", groups: [{ prompt, samples: 8, maximumTokens: 256 }] });
 * ```
 */
export function checkStep(body: unknown): Input<StepInput> {
  return check(() => {
    const fields = toObject("body", body);
    const step = toName("step", fields["step"]);
    const groups = toGroups(fields["groups"]);
    if (fields["stalenessBound"] === undefined) return { step, groups };
    const stalenessBound = toInteger(
      "stalenessBound",
      fields["stalenessBound"],
      { minimum: 0, maximum: 0xffff_ffff },
    );
    return { step, groups, stalenessBound };
  });
}

/**
 * Checks the parameters of a pull.
 * @param parameters - The query.
 * @example
 * ```ts
 * const input = checkPull(exchange.url.searchParams);
 * ```
 */
export function checkPull(parameters: URLSearchParams): Input<PullInput> {
  return check(() => {
    const cursor = parameters.get("cursor") ?? "";
    if (cursor.length > MAXIMUM_CURSOR_CHARACTERS) {
      throw new InputFault(
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

function check<Value>(read: () => Value): Input<Value> {
  try {
    return { kind: "input", value: read() };
  } catch (fault) {
    if (!(fault instanceof InputFault)) throw fault;
    return refuseInput(fault.field, fault.message);
  }
}

function toGroups(value: unknown): ReadonlyArray<GroupInput> {
  if (!Array.isArray(value) || value.length === 0) {
    throw new InputFault("groups", "groups must be a list with an entry");
  }
  if (value.length > MAXIMUM_SAMPLES) {
    throw new InputFault("groups", `groups has ${value.length} entries`);
  }
  const groups = value.map(toGroup);
  const samples = groups.reduce((sum, group) => sum + group.samples, 0);
  if (samples > MAXIMUM_SAMPLES) {
    throw new InputFault(
      "groups",
      `groups ask for ${samples} samples; a step has at most ${MAXIMUM_SAMPLES}`,
    );
  }
  return groups;
}

function toGroup(value: unknown, position: number): GroupInput {
  const name = `groups[${position}]`;
  const fields = toObject(name, value);
  return {
    prompt: toText(
      `${name}.prompt`,
      fields["prompt"],
      MAXIMUM_PROMPT_CHARACTERS,
    ),
    samples: toInteger(`${name}.samples`, fields["samples"], {
      minimum: 1,
      maximum: MAXIMUM_SAMPLES,
    }),
    maximumTokens: toInteger(
      `${name}.maximumTokens`,
      fields["maximumTokens"],
      { minimum: 1, maximum: MAXIMUM_TOKENS },
    ),
  };
}

function toObject(field: string, value: unknown): Record<string, unknown> {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw new InputFault(field, `${field} must be an object`);
  }
  return value as Record<string, unknown>;
}

function toText(field: string, value: unknown, maximum: number): string {
  if (typeof value !== "string" || value === "") {
    throw new InputFault(field, `${field} must be text that is not empty`);
  }
  if (value.length > maximum) {
    throw new InputFault(
      field,
      `${field} is longer than ${maximum} characters`,
    );
  }
  return value;
}

function toName(field: string, value: unknown): string {
  if (typeof value === "string" && NAME_PATTERN.test(value)) return value;
  throw new InputFault(
    field,
    `${field} must have 1 to 128 letters, digits, dots, hyphens or underscores`,
  );
}

function toInteger(field: string, value: unknown, range: NumberRange): number {
  const isInRange = typeof value === "number" && Number.isSafeInteger(value) &&
    value >= range.minimum && value <= range.maximum;
  if (isInRange) return value;
  throw new InputFault(
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
  return toInteger(field, /^\d{1,16}$/.test(text) ? Number(text) : NaN, range);
}

function refuseInput(field: string, message: string): {
  readonly kind: "refused";
  readonly refusal: Refusal;
} {
  return {
    kind: "refused",
    refusal: { error: "invalidRequest", message, ran: "notRun", field },
  };
}
