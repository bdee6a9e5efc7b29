import type { OwnedStep } from "../decisions/step_owner.ts";
import { hasManifest, type StepEntry } from "./step_registry.ts";

/**
 * Time after a step's submission for which its samples count as open: the 40 s lifetime of a sample
 * and a margin for clock differences.
 */
const MAXIMUM_OPEN_STEP_AGE_MILLISECONDS = 60_000;

/**
 * Lists the steps that count when the owner of a new step is chosen.
 * @param entries - The steps that this node knows of.
 * @param now - Current time in Unix milliseconds.
 */
export function listOwnedSteps(
  entries: Iterable<StepEntry>,
  now: number,
): ReadonlyArray<OwnedStep> {
  const recent = [...entries].filter((entry) =>
    hasManifest(entry) &&
    now - entry.manifest.submittedAt < MAXIMUM_OPEN_STEP_AGE_MILLISECONDS
  );
  return recent.map(({ manifest, owner, isEnded }) => ({
    model: manifest.model,
    step: manifest.step,
    owner,
    openSamples: isEnded ? 0 : manifest.total,
  }));
}
