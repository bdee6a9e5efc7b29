import test from "ava";
import { SystemClock } from "../utilities/system_clock.ts";
import type { DurableTable } from "./durable_table.ts";
import { TableFollower } from "./table_follower.ts";

test("a store that answers immediately without changes is not polled without a pause", async (t) => {
  let calls = 0;
  const table: Pick<DurableTable, "read" | "follow"> = {
    read: () =>
      Promise.resolve({
        kind: "ok",
        value: { rows: [], hasMore: false, version: 3 },
      }),
    follow: () => {
      calls += 1;
      return Promise.resolve({
        kind: "ok",
        value: { kind: "changes", changes: [], version: 3 },
      });
    },
  };
  const clock = new SystemClock();
  const stopping = new AbortController();
  const follower = new TableFollower({
    clock,
    table: table as DurableTable,
    name: "op",
    partition: "",
    onSnapshot: () => {},
    onChanges: () => {},
    onHealthChange: () => {},
    stopping: stopping.signal,
  });
  void follower.run();
  await clock.sleep(500);
  stopping.abort();
  t.true(calls > 2 && calls < 15, `${calls} calls`);
});
