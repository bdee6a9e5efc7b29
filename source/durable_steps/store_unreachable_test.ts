import test from "ava";
import { createStepManifest } from "../../stand_ins/installation/create_step_manifest.ts";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { toStepRowPlace } from "./step_registry.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import { StepIntake } from "./step_intake.ts";
import { StepReader } from "./step_reader.ts";
import type { StepTools } from "./step_tools.ts";

/**
 * Limit for an outcome that is returned without calling the store; a node gives up a silent store
 * connection after 1.2 s.
 */
const IMMEDIATE_LIMIT_MILLISECONDS = 100;
const QUERY = { identifier: "s1", organisation: "o" };

function createTools(table: MemoryDurableTable): StepTools {
  return createStepTools(table, new AbortController().signal, true);
}

// Creates a table whose calls never end, so that a test fails when the code under test waits for one.
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
      admission: { decide: () => ({ kind: "accept" }) },
      chooseOwner: () => "n/1",
    }).accept({
      ...QUERY,
      host: "h",
      path: "/p/",
      body: Buffer.from("{}"),
      route: {} as ServiceRoute,
    }),
  "a request for results": (tools) =>
    new StepReader(tools).readResults(QUERY, {
      position: 0,
      waitMilliseconds: 1000,
      signal: new AbortController().signal,
    }),
  "a request for a body": (tools) => new StepReader(tools).readBody(QUERY, "a"),
  "a request to end a step": (tools) => new StepReader(tools).end(QUERY),
};

for (const [title, request] of Object.entries(REQUESTS)) {
  test(`${title} is answered at once with refused or unavailable while calls to the store hang`, async (t) => {
    const tools = createTools(createHangingTable());
    const startedAt = tools.clock.monotonic();
    const outcome = await request(tools);
    t.true(["refused", "unavailable"].includes(outcome.kind));
    t.true(tools.clock.monotonic() - startedAt < IMMEDIATE_LIMIT_MILLISECONDS);
  });
}

test("while calls to the store hang, only cached results can be read", async (t) => {
  const table = new MemoryDurableTable();
  const storeHealth = { isUnreachable: false, isHanging: false };
  const tools: StepTools = {
    ...createStepTools(table),
    storeHealth,
  };
  const manifest = createStepManifest();
  await table.commit({
    conditions: [],
    puts: [{
      ...toStepRowPlace("s1", "manifest"),
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
  const pageBeforeHang = await reader.readResults(QUERY, options);
  storeHealth.isHanging = true;
  t.deepEqual(await reader.readResults(QUERY, options), pageBeforeHang);
  const uncachedPage = await reader.readResults(QUERY, {
    ...options,
    position: 1,
  });
  t.is(uncachedPage.kind, "unavailable");
});
