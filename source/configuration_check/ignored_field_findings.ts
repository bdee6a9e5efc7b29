import type {
  IgnoredEffect,
  IgnoredField,
} from "../installation/configuration_document.ts";
import type { Finding, Severity } from "./finding.ts";

const EFFECTS: {
  readonly [Kind in IgnoredEffect["kind"]]: (
    effect: Extract<IgnoredEffect, { readonly kind: Kind }>,
  ) => string;
} = {
  document: () => "nodes ignore the whole configuration",
  entry: () => "nodes ignore the entry",
  field: () => "nodes ignore it",
  replaced: ({ by }) => `nodes use ${by}`,
};

interface IgnoredFieldText {
  readonly severity: (field: IgnoredField) => Severity;
  readonly message: (field: IgnoredField) => string;
  readonly remedy: (field: IgnoredField) => string;
}

const TEXTS: Readonly<Record<IgnoredField["kind"], IgnoredFieldText>> = {
  missing: {
    // A default is used on purpose where it is not stated.
    severity: ({ effect }) =>
      effect.kind === "replaced" ? "information" : "error",
    message: () => "The field is missing",
    remedy: ({ expected }) => `Set it to ${expected}`,
  },
  mistyped: {
    severity: () => "error",
    message: ({ value, expected }) =>
      value === ""
        ? `The value is not ${expected}`
        : `${value} is not ${expected}`,
    remedy: ({ expected }) => `Set it to ${expected}`,
  },
  unknown: {
    // A name near to a known one is probably misspelt.
    severity: ({ expected }) => expected === "" ? "warning" : "error",
    message: ({ expected }) =>
      expected === ""
        ? "The field is not known"
        : `The field is not known; the nearest known name is ${expected}`,
    remedy: ({ expected }) =>
      expected === "" ? "Remove it" : `Rename it to ${expected}, or remove it`,
  },
  unusable: {
    severity: () => "error",
    message: ({ value, expected }) =>
      `${value === "" ? "The missing field" : value} must be ${expected}`,
    remedy: () => "Correct or remove one of the two fields",
  },
};

/**
 * Describes the fields that nodes ignore or read otherwise than written.
 * @param fields - The fields, as the decoder reported them; their paths are kept.
 * @example
 * ```ts
 * const findings = describeIgnoredFields(document.ignored);
 * ```
 */
export function describeIgnoredFields(
  fields: ReadonlyArray<IgnoredField>,
): ReadonlyArray<Finding> {
  return fields.map((field) => {
    const { severity, message, remedy } = TEXTS[field.kind];
    const describe = EFFECTS[field.effect.kind] as (
      effect: IgnoredEffect,
    ) => string;
    return {
      kind: `${field.kind}Field`,
      severity: severity(field),
      path: field.path,
      message: `${message(field)}; ${describe(field.effect)}`,
      remedy: remedy(field),
    };
  });
}
