import test from "ava";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { DutyLease } from "../duties/duty_lease.ts";
import { LeaseElector } from "../control/lease_elector.ts";
import { LeaseTable } from "../duties/lease_table.ts";
import type { Clock } from "../utilities/clock.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { toStepRowPlace } from "./step_registry.ts";
import type { StepManifest } from "./step_manifest.ts";
import { StepRetention } from "./step_retention.ts";
import type { StepTools } from "./step_tools.ts";

const KEEP_MILLISECONDS = 120_000;
const DAY_MILLISECONDS = 86_400_000;

async function putStep(
  table: MemoryDurableTable,
  step: { readonly identifier: string; readonly submittedAt: number },
  isEnded: boolean,
): Promise<void> {
  const { identifier, submittedAt } = step;
  const manifest: StepManifest = {
    identifier,
    submittedAt,
    organisation: "o",
    host: "h",
    path: "/",
    total: 1,
    model: "m",
    step: 1,
    upload: `${identifier}/u`,
    chunks: 1,
    owner: "n",
  };
  const value = Buffer.from(JSON.stringify(manifest));
  const puts = [
    { ...toStepRowPlace(identifier, "manifest"), value },
    {
      table: "submissions",
      partition: "steps",
      key: `${identifier}/u/00000`,
      value,
    },
    { table: "results", partition: identifier, key: "0000000.000", value },
  ];
  const end = { ...toStepRowPlace(identifier, "end"), value };
  await table.commit({ conditions: [], puts: isEnded ? [...puts, end] : puts });
}

function createRetention(
  tools: StepTools,
  stopping: AbortSignal,
): StepRetention {
  const settings = {
    node: "n",
    leaseMilliseconds: 1000,
    orderDeadlineMilliseconds: 300,
  };
  const elector = new LeaseElector({
    name: "duties",
    context: {
      ...tools,
      settings,
      stopping,
      nodeStart: "n-1",
      random: createRandomSource(1),
      platform: { table: new LeaseTable(tools.table) },
    },
  });
  return new StepRetention({
    ...tools,
    stopping,
    lease: new DutyLease(elector, "n"),
    retentionMilliseconds: KEEP_MILLISECONDS,
  });
}

test("the rows of an ended step are deleted after its retention period", async (t) => {
  const table = new MemoryDurableTable();
  const stopping = new AbortController();
  const tools = createStepTools(table, stopping.signal);
  const old = Date.now() - DAY_MILLISECONDS;
  await putStep(table, { identifier: "old", submittedAt: old }, true);
  await putStep(table, { identifier: "open", submittedAt: old }, false);
  await putStep(table, { identifier: "new", submittedAt: Date.now() }, true);
  void tools.stepRegistry.run();
  await tools.clock.sleep(50);
  await createRetention(tools, stopping.signal).deleteExpired();
  const remaining = await Promise.all(
    ["steps", "submissions"].map(async (name) => {
      const outcome = await table.read(name, { partition: "steps" });
      return outcome.kind === "ok"
        ? outcome.value.rows.map(({ key }) => key)
        : [];
    }),
  );
  t.deepEqual(remaining, [
    ["new/end", "new/manifest", "open/manifest"],
    ["new/u/00000", "open/u/00000"],
  ]);
  const results = await table.read("results", { partition: "old" });
  t.is(results.kind === "ok" ? results.value.rows.length : -1, 0);
  stopping.abort();
});

// Guards against the loss of results that callers still list when the wall clock steps forward.
test("a step of the time by a day deletes no results", async (t) => {
  const table = new MemoryDurableTable();
  const stopping = new AbortController();
  t.teardown(() => stopping.abort());
  const tools = createStepTools(table, stopping.signal);
  let step = 0;
  const clock: Clock = {
    monotonic: () => tools.clock.monotonic(),
    sleep: (...wait) => tools.clock.sleep(...wait),
    wall: () => tools.clock.wall() + step,
  };
  await putStep(table, { identifier: "new", submittedAt: Date.now() }, true);
  void tools.stepRegistry.run();
  await tools.clock.sleep(50);
  const retention = createRetention({ ...tools, clock }, stopping.signal);
  step = DAY_MILLISECONDS;
  await retention.deleteExpired();
  const results = await table.read("results", { partition: "new" });
  t.is(results.kind === "ok" ? results.value.rows.length : -1, 1);
});
