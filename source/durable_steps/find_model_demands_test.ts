import test from "ava";
import { findModelDemands } from "./find_model_demands.ts";
import type { StepEntry } from "./step_registry.ts";

function createEntry(
  step: number,
  overrides: {
    readonly model?: string;
    readonly minimumVersion?: number | undefined;
    readonly total?: number;
    readonly isEnded?: boolean;
  } = {},
): StepEntry {
  const { isEnded = false, ...manifest } = overrides;
  return {
    manifest: {
      identifier: `s${step}`,
      organisation: "o",
      host: "h",
      path: "/",
      submittedAt: 0,
      total: 24,
      model: "m",
      step,
      upload: "u",
      chunks: 1,
      owner: "n1/1",
      minimumVersion: step - 1,
      ...manifest,
    } as StepEntry["manifest"],
    owner: "n1/1",
    ownerVersion: 0,
    isEnded,
  };
}

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly entries: ReadonlyArray<StepEntry>;
}> = [
  { title: "without a step", entries: [] },
  {
    title: "the newest of two open steps",
    entries: [createEntry(6), createEntry(5)],
  },
  {
    title: "an ended step does not count",
    entries: [createEntry(5), createEntry(6, { isEnded: true })],
  },
  {
    title: "steps of other models do not count",
    entries: [createEntry(6, { model: "other" })],
  },
  {
    title: "a step whose manifest was not read does not count",
    entries: [createEntry(6, { total: -1 })],
  },
  {
    title: "a step of an earlier program states no version",
    entries: [createEntry(6, { minimumVersion: undefined })],
  },
];

for (const { title, entries } of CASES) {
  test(`what open steps want of a model: ${title}`, (t) => {
    t.snapshot(findModelDemands(entries, {
      models: ["m", "unnamed"],
      namedVersions: new Map([["m", 7]]),
    }));
  });
}
