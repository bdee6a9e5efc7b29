import { selectSpareGroups } from "../decisions/spare_groups.ts";
import { findEarlierSteps } from "./find_earlier_steps.ts";
import type { StepManifest } from "./step_manifest.ts";
import type { StepSubmission } from "./step_submission.ts";
import type { StepTools } from "./step_tools.ts";

/** A step and its samples. */
export interface SpareGroupSearch {
  readonly manifest: StepManifest;
  readonly submission: StepSubmission;
  /** Identifiers of the samples that have no result yet. */
  readonly openSamples: ReadonlySet<string>;
}

/**
 * Finds the groups that the trainer does not wait for. A group that was submitted before is always
 * waited for, and so is any group while an earlier submission is not known.
 * @param tools - The known steps and the lengths of texts.
 * @param step - The step and its samples.
 * @example
 * ```ts
 * const spareGroups = findSpareGroups(tools, { manifest, submission, openSamples });
 * ```
 */
export function findSpareGroups(
  tools: Pick<StepTools, "stepRegistry" | "submissionStore" | "textLengths">,
  { manifest, submission, openSamples }: SpareGroupSearch,
): ReadonlySet<string> {
  const earlier = findEarlierSteps(tools, { manifest, submission })
    .map(({ identifier }) => tools.submissionStore.getCached(identifier));
  if (earlier.includes(undefined)) return new Set();
  const repeated = earlier.flatMap((each) => each?.samples ?? []);
  return selectSpareGroups(
    submission.samples.map((sample) => ({
      group: sample.group,
      expectedEvents: tools.textLengths.expectEvents({
        expectedTokens: sample.expectedTokens,
        maximumTokens: sample.maximumTokens,
        madeEvents: 0,
      }),
      isOpen: openSamples.has(sample.identifier),
    })),
    {
      targetGroups: submission.targetGroups,
      requiredGroups: new Set(repeated.map(({ group }) => group)),
    },
  );
}
