import type { StepManifest } from "./step_manifest.ts";
import type { StepSubmission } from "./step_submission.ts";
import type { StepTools } from "./step_tools.ts";

/** Number of preceding steps whose incomplete groups a step may contain again. */
const EARLIER_STEPS = 2;

/**
 * Finds the earlier steps whose texts and results a step may reuse, because trainers submit
 * incomplete groups again in one of the next steps.
 * @param tools - The registry of stored steps and the cache of submissions.
 * @param step - The step that is about to run.
 */
export function findEarlierSteps(
  tools: Pick<StepTools, "stepRegistry" | "submissionStore">,
  step: {
    readonly manifest: StepManifest;
    readonly submission: StepSubmission;
  },
): ReadonlyArray<StepManifest> {
  const { manifest, submission } = step;
  return [...tools.stepRegistry.entries].map((entry) => entry.manifest).filter((
    earlier,
  ) =>
    earlier.model === manifest.model &&
    earlier.organisation === manifest.organisation &&
    earlier.step < manifest.step &&
    earlier.step >= manifest.step - EARLIER_STEPS &&
    mayShareSamples(
      tools.submissionStore.getCached(earlier.identifier),
      submission,
    )
  );
}

// An earlier submission that is not cached may contain any sample.
function mayShareSamples(
  earlier: StepSubmission | undefined,
  { samples }: StepSubmission,
): boolean {
  if (earlier === undefined) return true;
  const identifiers = new Set(earlier.samples.map((each) => each.identifier));
  return samples.some(({ identifier }) => identifiers.has(identifier));
}
