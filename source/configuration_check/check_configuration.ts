import type { Check, CheckInput, Finding } from "./finding.ts";
import { LIMIT_CHECKS } from "./limit_checks.ts";
import { REACH_CHECKS } from "./reach_checks.ts";
import { REFERENCE_CHECKS } from "./reference_checks.ts";

const CHECKS: Readonly<Record<string, Check>> = {
  ...REFERENCE_CHECKS,
  ...REACH_CHECKS,
  ...LIMIT_CHECKS,
};

/**
 * Runs all checks of what a configuration says; the fields that the decoder ignored are described
 * by `describeIgnoredFields`.
 * @param input - The document and what it is compared with.
 * @returns Findings with paths in the names of our types.
 * @example
 * ```ts
 * const findings = checkConfiguration({ document, bytes, inForce, settings });
 * ```
 */
export function checkConfiguration(
  input: CheckInput,
): ReadonlyArray<Finding> {
  return Object.entries(CHECKS).flatMap(([kind, check]) =>
    check(input).map((finding) => ({ kind, ...finding }))
  );
}
