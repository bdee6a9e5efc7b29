import test from "ava";
import {
  MemoryDurableTable,
  type TableFault,
} from "../../stand_ins/installation/memory_durable_table.ts";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import type { CallOutcome } from "../calls/call_outcome.ts";
import { StepIntake } from "./step_intake.ts";
import type { StepSubmission } from "./step_submission.ts";

const SUBMISSION: StepSubmission = {
  step: 3,
  model: "m",
  minimumVersion: 2,
  targetGroups: 1,
  samples: [],
};

function createIntake(table: MemoryDurableTable): StepIntake {
  return new StepIntake({
    tools: createStepTools(table),
    readSubmission: (body) => body.length === 0 ? undefined : SUBMISSION,
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
