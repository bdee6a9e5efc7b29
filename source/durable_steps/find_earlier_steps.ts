import type { StepManifest } from "./step_manifest.ts";
import type { StepSubmission } from "./step_submission.ts";
import type { StepTools } from "./step_tools.ts";

/** Steps before this one whose unfinished groups may come back. */
const EARLIER_STEPS = 2;

/**
 * Finds the earlier steps whose texts or results a step may go on with: groups that were not
 * complete come back in one of the next steps.
 * @param tools - The steps that the store has, and the submissions at hand.
 * @param step - The step that is about to run.
 */
export function findEarlierSteps(
  tools: Pick<StepTools, "book" | "archive">,
  step: {
    readonly manifest: StepManifest;
    readonly submission: StepSubmission;
  },
): ReadonlyArray<StepManifest> {
  const { manifest, submission } = step;
  return [...tools.book.entries].map((entry) => entry.manifest).filter((
    earlier,
  ) =>
    earlier.model === manifest.model &&
    earlier.organisation === manifest.organisation &&
    earlier.step < manifest.step &&
    earlier.step >= manifest.step - EARLIER_STEPS &&
    mayShareSamples(tools.archive.peek(earlier.identifier), submission)
  );
}

// An earlier submission that is not at hand may hold any sample.
function mayShareSamples(
  earlier: StepSubmission | undefined,
  { samples }: StepSubmission,
): boolean {
  if (earlier === undefined) return true;
  const identifiers = new Set(earlier.samples.map((each) => each.identifier));
  return samples.some(({ identifier }) => identifiers.has(identifier));
}
