import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { ServerView } from "./server_view.ts";

test("a software version counts as seen for some time after its last server has left", async (t) => {
  const clock = new ManualClock();
  const table = new MemoryDurableTable();
  const stopping = new AbortController();
  t.teardown(() => stopping.abort());
  const view = new ServerView({
    clock,
    table,
    log: new RecordingEventLog(),
    tableName: "servers",
    readRow: (key, value) =>
      createServerEntry(key, { softwareVersion: value.toString() }),
    drainMilliseconds: 200,
    stopping: stopping.signal,
  });
  const row = { table: "servers", partition: "", key: "e1" };
  const put = { ...row, value: Buffer.from("v1") };
  await table.commit({ conditions: [], puts: [put] });
  void view.run();
  await clock.advance(10);
  t.is(view.softwareVersionsSeen("s", 60_000), undefined, "followed too short");
  for (let second = 0; second < 100; second += 1) await clock.advance(1000);
  t.deepEqual([...view.softwareVersionsSeen("s", 60_000) ?? []], ["v1"]);
  const next = { ...row, key: "e2", value: Buffer.from("v2") };
  await table.commit({ conditions: [], puts: [next], deletes: [row] });
  await clock.advance(1000);
  t.deepEqual([...view.softwareVersionsSeen("s", 60_000) ?? []], ["v1", "v2"]);
  for (let second = 0; second < 60; second += 1) await clock.advance(1000);
  t.deepEqual([...view.softwareVersionsSeen("s", 60_000) ?? []], ["v2"]);
});
