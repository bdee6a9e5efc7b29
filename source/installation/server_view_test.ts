import test, { type ExecutionContext } from "ava";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";
import { ServerView } from "./server_view.ts";

const OUTAGE_MILLISECONDS = 300;
const REREAD_MILLISECONDS = 700;
const RETENTION_MILLISECONDS = 2000;

interface ViewFixture {
  readonly table: MemoryDurableTable;
  readonly log: RecordingEventLog;
  readonly view: ServerView;
  readonly put: (key: string, value: string) => Promise<void>;
  readonly remove: (key: string) => Promise<void>;
}

function toRowPlace(
  key: string,
): { table: string; partition: string; key: string } {
  return { table: "servers", partition: "", key };
}

function readRow(key: string, value: Buffer): BackendServerEntry | undefined {
  const state = value.toString();
  if (!["ready", "ready again", "leaving"].includes(state)) return undefined;
  return createServerEntry(key, {
    isDraining: state === "leaving",
    startedAt: state === "ready again" ? 1 : 0,
  });
}

async function start(t: ExecutionContext): Promise<ViewFixture> {
  const table = new MemoryDurableTable();
  const log = new RecordingEventLog();
  const stopping = new AbortController();
  t.teardown(() => stopping.abort());
  const view = new ServerView({
    clock: new SystemClock(),
    log,
    table,
    tableName: "servers",
    readRow,
    drainMilliseconds: 200,
    stopping: stopping.signal,
  });
  const put = async (key: string, value: string): Promise<void> => {
    const row = { ...toRowPlace(key), value: Buffer.from(value) };
    await table.commit({ conditions: [], puts: [row] });
  };
  const remove = async (key: string): Promise<void> => {
    await table.commit({
      conditions: [],
      puts: [],
      deletes: [toRowPlace(key)],
    });
  };
  await put("one", "ready");
  await put("two", "ready");
  void view.run();
  await wait(50);
  return { table, log, view, put, remove };
}

function wait(milliseconds: number): Promise<void> {
  return new SystemClock().sleep(milliseconds);
}

function names({ view }: ViewFixture): ReadonlyArray<string> {
  return view.ofService("s").map(({ identifier }) => identifier).sort();
}

test("draining and removed servers get no new requests", async (t) => {
  const fixture = await start(t);
  t.deepEqual(names(fixture), ["one", "two"]);
  await fixture.put("one", "leaving");
  await fixture.remove("two");
  await wait(150);
  t.deepEqual(names(fixture), []);
  t.false(fixture.view.isServing("one"));
});

test("a malformed entry is logged and skipped, and other entries stay", async (t) => {
  const fixture = await start(t);
  await fixture.put("one", "??");
  await fixture.put("three", "??");
  await wait(150);
  t.deepEqual(names(fixture), ["two"]);
  const malformed = fixture.log.events.filter(({ name }) =>
    name === "serverEntryMalformed"
  );
  t.is(malformed.length, 2);
});

test("servers whose entries expired in an outage are retained until they had time to renew them", async (t) => {
  const fixture = await start(t);
  fixture.table.isDown = true;
  await wait(OUTAGE_MILLISECONDS + 1000);
  t.deepEqual(names(fixture), ["one", "two"]);
  fixture.table.isDown = false;
  await fixture.remove("one");
  await fixture.remove("two");
  await wait(REREAD_MILLISECONDS);
  t.deepEqual(names(fixture), ["one", "two"]);
  t.false(fixture.view.isCurrent);
  await fixture.put("two", "ready");
  await wait(RETENTION_MILLISECONDS);
  t.deepEqual(names(fixture), ["two"]);
  t.true(fixture.view.isCurrent);
});

test("all entries are read again when the history of changes has expired", async (t) => {
  const fixture = await start(t);
  await fixture.put("three", "ready");
  fixture.table.discardHistory();
  await wait(1300);
  t.deepEqual(names(fixture), ["one", "three", "two"]);
});

test("a server that said it is leaving gets no requests until it has started again", async (t) => {
  const fixture = await start(t);
  const { view, log } = fixture;
  view.markLeaving({ identifier: "one", startedAt: 0 }, {
    learnedFrom: "answer",
  });
  t.deepEqual(names(fixture), ["two"]);
  t.false(view.isServing("one"));
  t.deepEqual(
    log.events.filter(({ name }) => name === "backendServerLeaving"),
    [
      {
        name: "backendServerLeaving",
        fields: { server: "one", learnedFrom: "answer" },
      },
    ],
  );
  await fixture.put("one", "ready");
  await wait(50);
  t.deepEqual(names(fixture), ["two"], "the entry still says that it serves");
  await fixture.put("one", "ready again");
  await wait(50);
  t.deepEqual(names(fixture), ["one", "two"]);
});

test("leaving servers whose entry says otherwise are published, whichever node they told", async (t) => {
  const fixture = await start(t);
  const { view } = fixture;
  view.markLeaving({ identifier: "one", startedAt: 0 }, {
    learnedFrom: "answer",
  });
  view.markLeaving({ identifier: "two", startedAt: 0 }, { learnedFrom: "n2" });
  const listed = (): ReadonlyArray<string> =>
    view.leavingWithoutEntry.map(({ identifier }) => identifier).sort();
  t.deepEqual(listed(), ["one", "two"]);
  await fixture.put("one", "leaving");
  await wait(50);
  t.deepEqual(listed(), ["two"]);
});
