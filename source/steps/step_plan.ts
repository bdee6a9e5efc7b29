import type {
  SampleGroup,
  StepManifest,
} from "../../generated/snipepath/v1/records_pb.ts";

/** One sample that a step requests. */
export interface PlannedSample {
  /** Position in the step; the samples of a group are consecutive. */
  readonly index: number;
  readonly group: number;
  readonly prompt: string;
  readonly maximumTokens: number;
}

/**
 * Counts the samples that a step requests.
 * @param manifest - The step.
 * @example
 * ```ts
 * countSamples(manifest); // 2048
 * ```
 */
export function countSamples(manifest: StepManifest): number {
  return manifest.groups.reduce((sum, group) => sum + group.samples, 0);
}

/** Maximum number of samples of a step. */
export const MAXIMUM_SAMPLES = 2048;

/**
 * Returns whether the number of samples that a manifest requests is within the limits of a step.
 * @param manifest - The step.
 * @example
 * ```ts
 * if (!isPlannable(manifest)) return;
 * ```
 */
export function isPlannable(manifest: StepManifest): boolean {
  const samples = countSamples(manifest);
  return samples > 0 && samples <= MAXIMUM_SAMPLES;
}

/**
 * Lists the samples of a step in the order of their indices.
 * @param manifest - The step.
 * @example
 * ```ts
 * const [first] = planSamples(manifest);
 * ```
 */
export function planSamples(
  manifest: StepManifest,
): ReadonlyArray<PlannedSample> {
  return manifest.groups.flatMap(repeatGroup)
    .map((sample, index) => ({ ...sample, index }));
}

function repeatGroup(
  group: SampleGroup,
  position: number,
): ReadonlyArray<Omit<PlannedSample, "index">> {
  return Array.from({ length: group.samples }, () => ({
    group: position,
    prompt: group.prompt,
    maximumTokens: group.maximumTokens,
  }));
}

/**
 * Sums the maximum token counts of the samples.
 * @param plan - The samples.
 * @example
 * ```ts
 * const tokens = countPlannedTokens(planSamples(manifest));
 * ```
 */
export function countPlannedTokens(
  plan: ReadonlyArray<PlannedSample>,
): number {
  return plan.reduce((sum, sample) => sum + sample.maximumTokens, 0);
}
