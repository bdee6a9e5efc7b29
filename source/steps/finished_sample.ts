import { create } from "@bufbuild/protobuf";
import {
  type Sample,
  SampleSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { FinishedCompletion } from "../dispatch/dispatcher.ts";
import type { PlannedSample } from "./step_plan.ts";

/**
 * Returns why a completion is not a valid sample; undefined when it is valid.
 * @param outcome - The completion.
 * @example
 * ```ts
 * findInvalidReason(outcome); // "missing versions"
 * ```
 */
export function findInvalidReason(
  outcome: FinishedCompletion,
): string | undefined {
  if (outcome.stretches.length === 0) return "missing versions";
  const tokens = outcome.stretches.reduce(
    (sum, stretch) => sum + stretch.tokens,
    0,
  );
  if (tokens === outcome.usage.generatedTokens) return undefined;
  return `${tokens} tokens have a weight version, but the usage counts ${outcome.usage.generatedTokens}`;
}

/**
 * Converts a completion to a sample.
 * @param planned - The sample that the step requested.
 * @param outcome - The completion.
 * @example
 * ```ts
 * const sample = toSample(planned, outcome);
 * ```
 */
export function toSample(
  planned: PlannedSample,
  outcome: FinishedCompletion,
): Sample {
  return create(SampleSchema, {
    index: planned.index,
    group: planned.group,
    text: outcome.text,
    stretches: outcome.stretches.map((stretch) => ({
      weightVersion: BigInt(stretch.weightVersion),
      tokens: stretch.tokens,
    })),
    finishReason: outcome.finishReason,
    backendServer: outcome.server,
    backendServerStart: outcome.serverStart,
  });
}
