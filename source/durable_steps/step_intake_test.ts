import test from "ava";
import {
  MemoryDurableTable,
  type TableFault,
} from "../../stand_ins/installation/memory_durable_table.ts";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import type { CallOutcome } from "../calls/call_outcome.ts";
import type { StepDecision } from "../decisions/step_admission.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import { StepIntake } from "./step_intake.ts";
import { AllowedRegions } from "../decisions/allowed_regions.ts";
import { RegionRules } from "../installation/region_rules.ts";
import type { StepTools } from "./step_tools.ts";
import type { StepSubmission } from "./step_submission.ts";

const SUBMISSION: StepSubmission = {
  step: 3,
  model: "m",
  minimumVersion: 2,
  targetGroups: 1,
  samples: [],
};

function createIntake(
  table: MemoryDurableTable,
  decision: StepDecision = { kind: "accept" },
  tools: StepTools = createStepTools(table),
): StepIntake {
  return new StepIntake({
    tools,
    readSubmission: (body) => body.length === 0 ? undefined : SUBMISSION,
    admission: { decide: () => decision },
    chooseOwner: () => "owner",
  });
}

function accept(
  intake: StepIntake,
  body = Buffer.from("step"),
): Promise<CallOutcome> {
  return intake.accept({
    identifier: "s1",
    organisation: "o",
    host: "h",
    path: "/p/",
    body,
    route: {} as ServiceRoute,
  });
}

async function countManifests(table: MemoryDurableTable): Promise<number> {
  const outcome = await table.read("steps", { partition: "steps" });
  return outcome.kind === "ok" ? outcome.value.rows.length : -1;
}

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly faults: ReadonlyArray<TableFault>;
}> = [
  { title: "with no fault", faults: [] },
  {
    title: "after the store refused two writes",
    faults: ["refused", "refused"],
  },
  { title: "after a lost response", faults: ["answerLost"] },
  { title: "after a delayed write", faults: ["late"] },
  {
    title: "after all of these",
    faults: ["refused", "late", "answerLost", "refused"],
  },
];

for (const { title, faults } of CASES) {
  test(`a step is accepted exactly once ${title}`, async (t) => {
    const table = new MemoryDurableTable();
    table.commitFaults.push(...faults);
    const outcome = await accept(createIntake(table));
    t.is(outcome.kind === "answered" ? outcome.status : 0, 202);
    table.applyLateCommits();
    t.is(await countManifests(table), 1);
  });
}

test("the same step is accepted again by a node that has not read it yet", async (t) => {
  const table = new MemoryDurableTable();
  await accept(createIntake(table));
  const outcome = await accept(createIntake(table));
  t.is(outcome.kind === "answered" ? outcome.status : 0, 202);
  t.is(await countManifests(table), 1);
});

test("a step is refused and not stored while the store is down", async (t) => {
  const table = new MemoryDurableTable();
  table.isDown = true;
  const outcome = await accept(createIntake(table));
  t.is(outcome.kind === "refused" ? outcome.refusal : "", "storeAway");
  table.isDown = false;
  t.is(await countManifests(table), 0);
});

test("a step whose write has an unknown outcome is not refused while the store is down", async (t) => {
  const table = new MemoryDurableTable();
  table.commitFaults.push("late", ...Array<TableFault>(200).fill("refused"));
  const outcome = await accept(createIntake(table));
  t.is(outcome.kind, "unknown");
});

test("a malformed step is refused", async (t) => {
  const table = new MemoryDurableTable();
  const outcome = await accept(createIntake(table), Buffer.alloc(0));
  t.is(outcome.kind === "refused" ? outcome.refusal : "", "malformed");
});

const REJECTION: StepDecision = {
  kind: "reject",
  retryAfterMilliseconds: 700,
};

async function readManifestRow(table: MemoryDurableTable): Promise<string> {
  const outcome = await table.read("steps", { partition: "steps" });
  const rows = outcome.kind === "ok" ? outcome.value.rows : [];
  return rows.map(({ value }) => value.toString()).join();
}

test("a rejected step is refused with the time at which there is room", async (t) => {
  const table = new MemoryDurableTable();
  t.deepEqual(await accept(createIntake(table, REJECTION)), {
    kind: "refused",
    refusal: "overloaded",
    retryAfterMilliseconds: 700,
  });
});

test("a write of an earlier attempt has no effect after the step was rejected", async (t) => {
  const table = new MemoryDurableTable();
  const intake = createIntake(table);
  // The first write is delayed and all others of the first attempt are refused.
  table.commitFaults.push("late", ...Array(90).fill("refused"));
  t.is((await accept(intake)).kind, "unknown");
  table.commitFaults.length = 0;
  const rejected = await accept(createIntake(table, REJECTION));
  t.is(rejected.kind, "refused");
  table.applyLateCommits();
  t.is(await readManifestRow(table), "rejected");
});

test("a rejection whose write has no outcome is not a refusal", async (t) => {
  const table = new MemoryDurableTable();
  table.commitFaults.push("answerLost");
  t.is((await accept(createIntake(table, REJECTION))).kind, "unknown");
});

test("a step that was rejected is accepted when it is submitted again", async (t) => {
  const table = new MemoryDurableTable();
  await accept(createIntake(table, REJECTION));
  const outcome = await accept(createIntake(table));
  t.is(outcome.kind, "answered");
  t.true((await readManifestRow(table)).includes('"identifier":"s1"'));
});

test("a step that another node has accepted is not rejected", async (t) => {
  const table = new MemoryDurableTable();
  await accept(createIntake(table));
  const outcome = await accept(createIntake(table, REJECTION));
  t.is(outcome.kind === "answered" ? outcome.status : 0, 202);
});

test("a step that no region may process is refused, and an earlier write of it has no effect", async (t) => {
  const table = new MemoryDurableTable();
  const tools = createStepTools(table);
  const none = new AllowedRegions(new Set(), () => undefined);
  const regionRules = Object.assign(
    new RegionRules({
      log: tools.log,
      settings: { failureDomain: "a", region: "r", regions: new Map() },
      configuration: () => undefined,
    }),
    { find: () => none },
  );
  const restricted = { ...tools, regionRules };
  const intake = createIntake(table, { kind: "accept" }, restricted);
  const outcome = await accept(intake);
  t.is(outcome.kind === "refused" ? outcome.refusal : "", "noAllowedRegion");
  t.is(await readManifestRow(table), "rejected");
});

test("the manifest names the region in which the step was submitted", async (t) => {
  const table = new MemoryDurableTable();
  await accept(createIntake(table));
  const manifest = JSON.parse(await readManifestRow(table));
  t.is(manifest.submittedRegion, "r");
});
