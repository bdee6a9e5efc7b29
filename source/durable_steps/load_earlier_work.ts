import {
  mayUseVersions,
  type WeightVersionBound,
} from "../decisions/weight_version_bound.ts";
import { findEarlierSteps } from "./find_earlier_steps.ts";
import type { SampleResult } from "./sample_result.ts";
import type { SampleText } from "./sample_text.ts";
import type { StepManifest } from "./step_manifest.ts";
import type { StepResults } from "./step_results.ts";
import type { StepSubmission } from "./step_submission.ts";
import type { StepTools } from "./step_tools.ts";

/** Texts that were saved in the store, by sample identifier. */
export type EarlierTexts = Map<string, SampleText[]>;

/** A step that is about to run, and where the work on its samples may stand. */
export interface EarlierWorkOptions {
  readonly tools: StepTools;
  readonly manifest: StepManifest;
  readonly submission: StepSubmission;
  /** Identity of this process. */
  readonly nodeStart: string;
  /** Whether no other process has owned the step. */
  readonly isFirstOwner: boolean;
  /** Receives the results that the step lists again. */
  readonly results: StepResults;
  /** Returns the weight versions that the step may use under the configuration in force. */
  readonly bound: () => WeightVersionBound;
  readonly signal: AbortSignal;
}

/**
 * Loads saved texts and results of a step and of earlier steps. The first owner skips the step's own
 * rows, because no process has written any.
 * @param options - The step.
 * @returns The texts; results are added to those of the step.
 * @example
 * ```ts
 * const texts = await loadEarlierWork({ ...options, submission, results, bound, signal });
 * ```
 */
export async function loadEarlierWork(
  options: EarlierWorkOptions,
): Promise<EarlierTexts> {
  const { tools, manifest, submission, isFirstOwner, results } = options;
  const earlier = findEarlierSteps(tools, { manifest, submission });
  const steps = isFirstOwner ? earlier : [manifest, ...earlier];
  const texts: EarlierTexts = new Map();
  await Promise.all([
    isFirstOwner ? undefined : results.readListed(),
    ...steps.map((step) => loadSavedTexts(step, { ...options, texts })),
  ]);
  await Promise.all(earlier.map((step) => reuseResults(step, options)));
  return texts;
}

// Loads the texts that another node saved, so that this node continues them.
async function loadSavedTexts(
  { identifier, owner }: StepManifest,
  { tools, nodeStart, submission, texts }: EarlierWorkOptions & {
    readonly texts: EarlierTexts;
  },
): Promise<void> {
  if (owner === nodeStart) return;
  const wanted = new Set(submission.samples.map((each) => each.identifier));
  for (const [sample, text] of await tools.progress.load(identifier)) {
    if (!wanted.has(sample)) continue;
    texts.set(sample, [...texts.get(sample) ?? [], text]);
  }
}

// Reuses the listed results of an earlier step for samples that were submitted again.
async function reuseResults(
  earlier: StepManifest,
  { tools, submission, results, bound, signal }: EarlierWorkOptions,
): Promise<void> {
  const wanted = new Set(submission.samples.map((each) => each.identifier));
  const outcome = await tools.results.readAll(earlier.identifier, 0);
  if (signal.aborted || outcome.kind !== "ok") return;
  for (const result of outcome.value) {
    const { identifier } = result;
    if (!wanted.has(identifier) || results.has(identifier)) continue;
    if (isReusable(result, bound())) results.add(result);
  }
}

function isReusable(result: SampleResult, bound: WeightVersionBound): boolean {
  return result.kind === "completed" &&
    mayUseVersions(result.weightVersions, bound);
}
