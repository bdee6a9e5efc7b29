import type {
  SampleGroup,
  StepManifest,
} from "../../generated/snipepath/v1/records_pb.ts";

/** One sample that a step requests. */
export interface PlannedSample {
  /** Position in the step; the samples of a group are consecutive. */
  readonly index: number;
  /** Position of the sample's group in the manifest. */
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
 * Returns whether a manifest requests at least one and at most `MAXIMUM_SAMPLES` samples.
 * @param manifest - The step.
 * @example
 * ```ts
 * if (!hasValidSampleCount(manifest)) return;
 * ```
 */
export function hasValidSampleCount(manifest: StepManifest): boolean {
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
  return manifest.groups.flatMap(listGroupSamples)
    .map((sample, index) => ({ ...sample, index }));
}

function listGroupSamples(
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
 * Sums the maximum numbers of tokens of samples.
 * @param plan - The samples.
 * @example
 * ```ts
 * const tokens = sumMaximumTokens(planSamples(manifest));
 * ```
 */
export function sumMaximumTokens(
  plan: ReadonlyArray<PlannedSample>,
): number {
  return plan.reduce((sum, sample) => sum + sample.maximumTokens, 0);
}
