import test, { type ExecutionContext } from "ava";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";
import { ServerView } from "./server_view.ts";

const OUTAGE_MILLISECONDS = 300;
const SOON_MILLISECONDS = 700;
const RETURN_MILLISECONDS = 2000;

interface Trial {
  readonly table: MemoryDurableTable;
  readonly log: RecordingEventLog;
  readonly view: ServerView;
  readonly put: (key: string, value: string) => Promise<void>;
  readonly drop: (key: string) => Promise<void>;
}

function toPlace(
  key: string,
): { table: string; partition: string; key: string } {
  return { table: "servers", partition: "", key };
}

function readRow(key: string, value: Buffer): BackendServerEntry | undefined {
  const state = value.toString();
  if (state !== "ready" && state !== "leaving") return undefined;
  return createServerEntry(key, { isLeaving: state === "leaving" });
}

async function start(t: ExecutionContext): Promise<Trial> {
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
    const row = { ...toPlace(key), value: Buffer.from(value) };
    await table.commit({ conditions: [], puts: [row] });
  };
  const drop = async (key: string): Promise<void> => {
    await table.commit({ conditions: [], puts: [], deletes: [toPlace(key)] });
  };
  await put("one", "ready");
  await put("two", "ready");
  void view.run();
  await wait(50);
  return { table, log, view, put, drop };
}

function wait(milliseconds: number): Promise<void> {
  return new SystemClock().sleep(milliseconds);
}

function names({ view }: Trial): ReadonlyArray<string> {
  return view.ofService("s").map(({ identifier }) => identifier).sort();
}

test("servers that leave or are gone get no new requests", async (t) => {
  const trial = await start(t);
  t.deepEqual(names(trial), ["one", "two"]);
  await trial.put("one", "leaving");
  await trial.drop("two");
  await wait(150);
  t.deepEqual(names(trial), []);
  t.false(trial.view.isServing("one"));
});

test("an entry that can't be read names no server, and the others hold", async (t) => {
  const trial = await start(t);
  await trial.put("one", "??");
  await trial.put("three", "??");
  await wait(150);
  t.deepEqual(names(trial), ["two"]);
  const told = trial.log.events.filter(({ name }) =>
    name === "serverEntryMalformed"
  );
  t.is(told.length, 2);
});

test("entries that lapsed in an outage are kept for their return, then dropped", async (t) => {
  const trial = await start(t);
  trial.table.isDown = true;
  await wait(OUTAGE_MILLISECONDS + 1000);
  t.deepEqual(names(trial), ["one", "two"]);
  trial.table.isDown = false;
  await trial.drop("one");
  await trial.drop("two");
  await wait(SOON_MILLISECONDS);
  t.deepEqual(names(trial), ["one", "two"]);
  t.false(trial.view.isCurrent);
  await trial.put("two", "ready");
  await wait(RETURN_MILLISECONDS);
  t.deepEqual(names(trial), ["two"]);
  t.true(trial.view.isCurrent);
});

test("a forgotten history is made up for by reading all entries", async (t) => {
  const trial = await start(t);
  await trial.put("three", "ready");
  trial.table.forgetHistory();
  await wait(1300);
  t.deepEqual(names(trial), ["one", "three", "two"]);
});
