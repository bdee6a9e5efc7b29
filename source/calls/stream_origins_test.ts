import test from "ava";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import type { StreamOriginFinding } from "../decisions/stream_continuation.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { StreamOrigins } from "./stream_origins.ts";

const REQUEST = { identifier: "q1", organisation: "o1" };
const ORIGIN = {
  service: "s",
  softwareVersion: "v1",
  server: { identifier: "e1", startedAt: 7 },
};
const FOUND: StreamOriginFinding = { kind: "found", origin: ORIGIN };
const DAY_MILLISECONDS = 86_400_000;
const PERIOD_MILLISECONDS = 300_000;

interface Fixture {
  readonly clock: ManualClock;
  readonly log: RecordingEventLog;
  readonly table: MemoryDurableTable;
  /** Creates the origins of another node. */
  readonly createNode: (isHanging?: boolean) => StreamOrigins;
}

function createFixture(): Fixture {
  const clock = new ManualClock();
  const log = new RecordingEventLog();
  const table = new MemoryDurableTable();
  const createNode = (isHanging = false): StreamOrigins =>
    new StreamOrigins({
      clock,
      log,
      table,
      storeHealth: { isHanging },
      lease: { getHeldDuty: () => undefined },
      stopping: new AbortController().signal,
    });
  return { clock, log, table, createNode };
}

async function countRecords(table: MemoryDurableTable): Promise<number> {
  let count = 0;
  for (let partition = 0; partition < 16; partition += 1) {
    const page = await table.read("streams", { partition: String(partition) });
    count += page.kind === "ok" ? page.value.rows.length : 0;
  }
  return count;
}

test("another node finds the origin of a stream, also in the next period", async (t) => {
  const { clock, createNode } = createFixture();
  createNode().record(REQUEST, ORIGIN);
  await clock.advance(1);
  t.deepEqual(await createNode().find(REQUEST), FOUND);
  await clock.advance(PERIOD_MILLISECONDS);
  t.deepEqual(await createNode().find(REQUEST), FOUND);
});

test("the same identifier of another organisation names another stream", async (t) => {
  const { clock, createNode } = createFixture();
  createNode().record(REQUEST, ORIGIN);
  await clock.advance(1);
  const other = { ...REQUEST, organisation: "o2" };
  t.deepEqual(await createNode().find(other), { kind: "absent" });
});

test("while the store is away, only the node that began a stream knows its origin", async (t) => {
  const { clock, log, table, createNode } = createFixture();
  const node = createNode();
  table.isDown = true;
  node.record(REQUEST, ORIGIN);
  await clock.advance(1);
  t.deepEqual(await node.find(REQUEST), FOUND);
  t.deepEqual(await createNode().find(REQUEST), { kind: "unreadable" });
  t.deepEqual(log.events.map(({ name }) => name), ["streamOriginNotSaved"]);
  table.isDown = false;
  t.deepEqual(await createNode().find(REQUEST), { kind: "absent" });
});

test("records are deleted once their streams have ended long ago", async (t) => {
  const { clock, table, createNode } = createFixture();
  const node = createNode();
  node.record(REQUEST, ORIGIN);
  await clock.advance(PERIOD_MILLISECONDS);
  await node.deleteOld();
  t.deepEqual(await createNode().find(REQUEST), FOUND);
  await clock.advance(PERIOD_MILLISECONDS);
  node.record({ ...REQUEST, identifier: "q2" }, ORIGIN);
  await clock.advance(1);
  t.is(await countRecords(table), 2);
  await node.deleteOld();
  t.is(await countRecords(table), 1);
});

// Guards against the loss of recent records when the wall clock steps forward.
test("a step of the time by a day deletes no records", async (t) => {
  const { clock, createNode } = createFixture();
  const node = createNode();
  node.record(REQUEST, ORIGIN);
  await clock.advance(1);
  clock.stepWall(DAY_MILLISECONDS);
  await node.deleteOld();
  clock.stepWall(-DAY_MILLISECONDS);
  t.deepEqual(await createNode().find(REQUEST), FOUND);
});

test("a stream does not wait for a store whose calls hang", async (t) => {
  const { clock, createNode } = createFixture();
  createNode().record(REQUEST, ORIGIN);
  await clock.advance(1);
  t.deepEqual(await createNode(true).find(REQUEST), { kind: "unreadable" });
});
