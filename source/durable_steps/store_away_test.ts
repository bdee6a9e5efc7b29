import test from "ava";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { toStepPlace } from "./step_book.ts";
import { StepIntake } from "./step_intake.ts";
import { StepReader } from "./step_reader.ts";
import type { StepTools } from "./step_tools.ts";

/** No call to the store fits in; one that hangs takes 1.2 s. */
const AT_ONCE_MILLISECONDS = 100;
const QUESTION = { identifier: "s1", organisation: "o" };

function createTools(table: MemoryDurableTable): StepTools {
  return createStepTools(table, new AbortController().signal, true);
}

// A table whose calls hang shows each one that is made.
function createHangingTable(): MemoryDurableTable {
  const table = new MemoryDurableTable();
  table.read = () => new Promise(() => {});
  table.commit = () => new Promise(() => {});
  return table;
}

const REQUESTS: Readonly<
  Record<string, (tools: StepTools) => Promise<{ readonly kind: string }>>
> = {
  "a new step": (tools) =>
    new StepIntake({
      tools,
      readSubmission: () => ({
        step: 0,
        model: "m",
        minimumVersion: 1,
        targetGroups: 1,
        samples: [],
      }),
      chooseOwner: () => "n/1",
    }).accept({ ...QUESTION, host: "h", path: "/p/", body: Buffer.from("{}") }),
  "a reading of results": (tools) =>
    new StepReader(tools).readResults(QUESTION, {
      position: 0,
      waitMilliseconds: 1000,
      signal: new AbortController().signal,
    }),
  "a reading of a body": (tools) =>
    new StepReader(tools).readBody(QUESTION, "a"),
  "an end": (tools) => new StepReader(tools).end(QUESTION),
};

for (const [title, request] of Object.entries(REQUESTS)) {
  test(`${title} is refused at once by a node whose calls to the store hang`, async (t) => {
    const tools = createTools(createHangingTable());
    const startedAt = tools.clock.monotonic();
    const outcome = await request(tools);
    t.true(["refused", "unsure"].includes(outcome.kind));
    t.true(tools.clock.monotonic() - startedAt < AT_ONCE_MILLISECONDS);
  });
}

test("results that were read before are read on without the store", async (t) => {
  const table = new MemoryDurableTable();
  const storeHealth = { isAway: false, isSilent: false };
  const tools: StepTools = {
    ...createStepTools(table),
    storeHealth,
  };
  const manifest = { identifier: "s1", organisation: "o", total: 2 };
  await table.commit({
    conditions: [],
    puts: [{
      ...toStepPlace("s1", "manifest"),
      value: Buffer.from(JSON.stringify(manifest)),
    }],
  });
  await tools.results.append("s1", {
    position: 0,
    results: [{ kind: "terminated", identifier: "a" }],
  });
  const reader = new StepReader(tools);
  const signal = new AbortController().signal;
  const options = { position: 0, waitMilliseconds: 0, signal };
  const before = await reader.readResults(QUESTION, options);
  storeHealth.isSilent = true;
  t.deepEqual(await reader.readResults(QUESTION, options), before);
  const beyond = await reader.readResults(QUESTION, {
    ...options,
    position: 1,
  });
  t.is(beyond.kind, "unsure");
});
