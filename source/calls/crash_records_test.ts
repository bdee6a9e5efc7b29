import test, { type ExecutionContext } from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { USUAL_PACE } from "../platform/table_follower.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { CrashRecords } from "./crash_records.ts";

const CONTENT = "content";

function startRecords(
  t: ExecutionContext,
  table: MemoryDurableTable,
): CrashRecords {
  const stopping = new AbortController();
  t.teardown(() => stopping.abort());
  const records = new CrashRecords({
    clock: new SystemClock(),
    log: new RecordingEventLog(),
    table,
    findServers: () => [],
    lease: { getHeldDuty: () => undefined },
    pace: () => USUAL_PACE,
    stopping: stopping.signal,
  });
  void records.run();
  return records;
}

async function waitUntil(isTrue: () => boolean): Promise<boolean> {
  for (let round = 0; round < 100 && !isTrue(); round += 1) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  return isTrue();
}

function recordCrashes(
  records: CrashRecords,
  servers: ReadonlyArray<string>,
): void {
  for (const server of servers) {
    records.recordCrash(CONTENT, createServerEntry(server));
  }
}

test("crashes that two nodes saw count together at both and at a third one", async (t) => {
  const table = new MemoryDurableTable();
  const [first, second, third] = [1, 2, 3].map(() => startRecords(t, table));
  if (!first || !second || !third) return t.fail();
  recordCrashes(first, ["a"]);
  recordCrashes(second, ["b"]);
  for (const records of [first, second, third]) {
    t.true(
      await waitUntil(() => records.decide(CONTENT, "s").kind === "reject"),
    );
  }
});

test("one server that ended under calls of two nodes counts once", async (t) => {
  const table = new MemoryDurableTable();
  const [first, second] = [1, 2].map(() => startRecords(t, table));
  if (!first || !second) return t.fail();
  recordCrashes(first, ["a"]);
  recordCrashes(second, ["a"]);
  t.true(await waitUntil(() => first.size === 1 && second.size === 1));
  t.is(first.decide(CONTENT, "s").kind, "send");
  t.is(second.decide(CONTENT, "s").kind, "send");
});

test("a node that starts later knows the crashes", async (t) => {
  const table = new MemoryDurableTable();
  recordCrashes(startRecords(t, table), ["a", "b"]);
  const later = startRecords(t, table);
  t.true(await waitUntil(() => later.decide(CONTENT, "s").kind === "reject"));
});

test("an answered call clears the record at all nodes", async (t) => {
  const table = new MemoryDurableTable();
  const [first, second] = [1, 2].map(() => startRecords(t, table));
  if (!first || !second) return t.fail();
  recordCrashes(first, ["a", "b"]);
  t.true(await waitUntil(() => second.isSuspect(CONTENT)));
  second.recordSuccess(CONTENT);
  t.true(await waitUntil(() => !first.isSuspect(CONTENT)));
  t.is(first.decide(CONTENT, "s").kind, "send");
});

test("only one call of all nodes gets a trial", async (t) => {
  const table = new MemoryDurableTable();
  const [first, second] = [1, 2].map(() => startRecords(t, table));
  if (!first || !second) return t.fail();
  recordCrashes(first, ["a", "b"]);
  t.true(await waitUntil(() => second.decide(CONTENT, "s").kind === "reject"));
  const claims = await Promise.all([
    first.claimTrial(CONTENT),
    second.claimTrial(CONTENT),
  ]);
  t.deepEqual(claims.filter((triedAt) => triedAt !== undefined).length, 1);
});

test("while the store is away, a node holds calls by what it saw itself, tries none and reports later", async (t) => {
  const table = new MemoryDurableTable();
  const records = startRecords(t, table);
  table.isDown = true;
  recordCrashes(records, ["a", "b"]);
  t.is(records.decide(CONTENT, "s").kind, "reject");
  t.is(await records.claimTrial(CONTENT), undefined);
  table.isDown = false;
  const other = startRecords(t, table);
  t.true(await waitUntil(() => other.decide(CONTENT, "s").kind === "reject"));
});

test("a lost answer of the store leaves the count as it is", async (t) => {
  const table = new MemoryDurableTable();
  const records = startRecords(t, table);
  table.commitFaults.push("answerLost");
  recordCrashes(records, ["a"]);
  const other = startRecords(t, table);
  t.true(await waitUntil(() => other.isSuspect(CONTENT)));
  recordCrashes(other, ["b"]);
  t.true(await waitUntil(() => records.decide(CONTENT, "s").kind === "reject"));
});

test("a row that another program wrote is ignored", async (t) => {
  const table = new MemoryDurableTable();
  await table.commit({
    conditions: [],
    puts: [{
      table: "crashes",
      partition: "",
      key: CONTENT,
      value: Buffer.from("{"),
    }],
  });
  const records = startRecords(t, table);
  recordCrashes(records, ["a", "b"]);
  t.is(records.decide(CONTENT, "s").kind, "reject");
});

test("a second crash that the store refused at first is known to other nodes", async (t) => {
  const table = new MemoryDurableTable();
  const [first, second] = [1, 2].map(() => startRecords(t, table));
  if (!first || !second) return t.fail();
  recordCrashes(first, ["a"]);
  t.true(await waitUntil(() => second.isSuspect(CONTENT)));
  table.commitFaults.push("refused");
  recordCrashes(first, ["b"]);
  t.true(await waitUntil(() => second.decide(CONTENT, "s").kind === "reject"));
});

test("a record whose deletion the store refused at first is cleared at all nodes", async (t) => {
  const table = new MemoryDurableTable();
  const [first, second] = [1, 2].map(() => startRecords(t, table));
  if (!first || !second) return t.fail();
  recordCrashes(first, ["a", "b"]);
  t.true(
    await waitUntil(() => second.decide(CONTENT, "s").kind === "reject"),
  );
  table.commitFaults.push("refused");
  first.recordSuccess(CONTENT);
  t.true(await waitUntil(() => !second.isSuspect(CONTENT)));
});

test("a claim whose answer the store lost is returned", async (t) => {
  const table = new MemoryDurableTable();
  const [first, second] = [1, 2].map(() => startRecords(t, table));
  if (!first || !second) return t.fail();
  recordCrashes(first, ["a", "b"]);
  t.true(
    await waitUntil(() => second.decide(CONTENT, "s").kind === "reject"),
  );
  table.commitFaults.push("answerLost");
  t.is(await second.claimTrial(CONTENT), undefined);
  t.true(
    await waitUntil(() => {
      const decision = first.decide(CONTENT, "s");
      return decision.kind === "reject" &&
        decision.retryAfterMilliseconds <= 3000;
    }),
  );
  const claims = [first.claimTrial(CONTENT), second.claimTrial(CONTENT)];
  const claimed = (await Promise.all(claims)).filter(Boolean);
  t.is(claimed.length, 1);
});
