import test from "ava";
import { createSampleRequest } from "../../stand_ins/installation/create_sample_request.ts";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { findEarlierSteps } from "./find_earlier_steps.ts";
import { toStepRowPlace } from "./step_registry.ts";
import type { StepManifest } from "./step_manifest.ts";
import type { StepSubmission } from "./step_submission.ts";

function createSubmission(...identifiers: string[]): StepSubmission {
  return {
    step: 0,
    model: "m",
    minimumVersion: 1,
    targetGroups: 1,
    samples: identifiers.map(createSampleRequest),
  };
}

function createManifest(
  step: number,
  overrides: Partial<StepManifest> = {},
): StepManifest {
  return {
    identifier: `s${step}`,
    organisation: "o",
    host: "h",
    path: "/p/",
    submittedAt: 0,
    total: 1,
    model: "m",
    step,
    upload: "u",
    chunks: 1,
    owner: "n/1",
    ...overrides,
  };
}

function find(
  earlier: StepManifest,
  known: StepSubmission | undefined,
): ReadonlyArray<string> {
  const tools = createStepTools(new MemoryDurableTable());
  const manifest = createManifest(5);
  for (const each of [earlier, manifest]) {
    const value = Buffer.from(JSON.stringify(each));
    const place = toStepRowPlace(each.identifier, "manifest");
    tools.stepRegistry.applyWrittenRow({ ...place, value, version: 1 });
  }
  if (known !== undefined) {
    tools.submissionStore.addToCache(earlier.identifier, known);
  }
  const submission = createSubmission("a", "b");
  return findEarlierSteps(tools, { manifest, submission })
    .map(({ identifier }) => identifier);
}

test("a step that shares a sample is found", (t) => {
  t.deepEqual(find(createManifest(4), createSubmission("z", "b")), ["s4"]);
});

test("a step that shares no sample is not found", (t) => {
  t.deepEqual(find(createManifest(4), createSubmission("y", "z")), []);
});

test("a step whose submission is not cached is found", (t) => {
  t.deepEqual(find(createManifest(4), undefined), ["s4"]);
});

const OTHERS: Readonly<Record<string, StepManifest>> = {
  "of another model": createManifest(4, { model: "other" }),
  "of another organisation": createManifest(4, { organisation: "other" }),
  "that is more than two steps older": createManifest(2),
  "with a higher number": createManifest(6),
};

for (const [title, manifest] of Object.entries(OTHERS)) {
  test(`a step ${title} is not found`, (t) => {
    t.deepEqual(find(manifest, createSubmission("a")), []);
  });
}
