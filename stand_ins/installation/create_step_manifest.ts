import type { StepManifest } from "../../source/durable_steps/step_manifest.ts";

/** Creates the manifest of step "s1" of organisation "o", which has two samples of model "m". */
export function createStepManifest(
  more: Partial<StepManifest> = {},
): StepManifest {
  return {
    identifier: "s1",
    organisation: "o",
    host: "h",
    path: "/p/",
    submittedAt: 0,
    total: 2,
    model: "m",
    step: 1,
    upload: "u",
    chunks: 1,
    owner: "n/1",
    ...more,
  };
}
