import test, { type ExecutionContext } from "ava";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import type { Configuration } from "./configuration.ts";
import { type OperatorRow, OperatorView } from "./operator_view.ts";

const KEY_WITHDRAWAL_MILLISECONDS = 3000;

/** A clock whose wall time a test moves ahead, as after a suspension of the instance. */
class SteppedClock extends SystemClock {
  /** Milliseconds by which the wall clock is ahead of the monotonic clock. */
  aheadMilliseconds = 0;

  /** Returns the moved wall time. */
  override wall(): number {
    return super.wall() + this.aheadMilliseconds;
  }
}

interface ViewFixture {
  readonly table: MemoryDurableTable;
  readonly clock: SteppedClock;
  readonly view: OperatorView;
  readonly log: RecordingEventLog;
  readonly put: (key: string, value: string) => Promise<void>;
}

function readRow(key: string, value: Buffer): OperatorRow {
  if (key.startsWith("evacuate/")) {
    return { kind: "evacuation", failureDomain: key.slice("evacuate/".length) };
  }
  const version = Number(value.toString());
  if (Number.isNaN(version)) return { kind: "malformed", key };
  if (key !== "config") return { kind: "namedVersion", model: key, version };
  const configuration: Configuration = {
    version,
    routes: [],
    services: new Map(),
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerMilliseconds: 1,
      idleMilliseconds: 1,
    },
    organisationsByKey: undefined,
    organisationPriorities: new Map(),
    organisationRegions: new Map(),
  };
  return { kind: "configuration", configuration };
}

async function start(t: ExecutionContext): Promise<ViewFixture> {
  const table = new MemoryDurableTable();
  const clock = new SteppedClock();
  const log = new RecordingEventLog();
  const stopping = new AbortController();
  t.teardown(() => stopping.abort());
  const view = new OperatorView({
    clock,
    log,
    table,
    tableName: "op",
    readRow,
    keyWithdrawalMilliseconds: KEY_WITHDRAWAL_MILLISECONDS,
    stopping: stopping.signal,
  });
  const put = async (key: string, value: string): Promise<void> => {
    await table.commit({
      conditions: [],
      puts: [{ table: "op", partition: "", key, value: Buffer.from(value) }],
    });
  };
  await put("config", "5");
  void view.run();
  await clock.sleep(50);
  return { table, clock, view, log, put };
}

async function deleteRow(
  table: MemoryDurableTable,
  key: string,
): Promise<void> {
  const deletes = [{ table: "op", partition: "", key }];
  await table.commit({ conditions: [], puts: [], deletes });
}

test("only a newer configuration replaces the one in force", async (t) => {
  const { view, put, clock } = await start(t);
  t.is(view.configuration?.version, 5);
  await put("config", "8");
  await clock.sleep(50);
  t.is(view.configuration?.version, 8);
  await put("config", "7");
  await clock.sleep(50);
  t.is(view.configuration?.version, 8);
});

test("a malformed row is logged, and the configuration in force stays", async (t) => {
  const { view, put, clock, log } = await start(t);
  await put("config", "nonsense");
  await clock.sleep(50);
  t.is(view.configuration?.version, 5);
  t.true(log.events.some(({ name }) => name === "operatorRowMalformed"));
});

test("an older published version does not replace a newer one", async (t) => {
  const { view, put, clock } = await start(t);
  await put("m", "3");
  await put("m", "2");
  await clock.sleep(50);
  t.is(view.namedVersions.get("m"), 3);
});

test("the view of keys is not fresh after an outage of the store longer than the bound", async (t) => {
  const { view, table, clock } = await start(t);
  t.true(view.isKeyViewFresh());
  table.isDown = true;
  await clock.sleep(KEY_WITHDRAWAL_MILLISECONDS);
  t.false(view.isKeyViewFresh());
  table.isDown = false;
  await clock.sleep(700);
  t.true(view.isKeyViewFresh());
});

test("the view of keys is not fresh after a suspension that the monotonic clock did not count", async (t) => {
  const { view, clock } = await start(t);
  clock.aheadMilliseconds = 2 * KEY_WITHDRAWAL_MILLISECONDS;
  t.false(view.isKeyViewFresh());
  await clock.sleep(2300);
  t.true(view.isKeyViewFresh());
});

test("a failure domain is evacuated until its row is deleted, also through an outage", async (t) => {
  const { view, put, table, clock } = await start(t);
  t.is(view.evacuatedDomains.size, 0);
  await put("evacuate/a", "{}");
  await clock.sleep(50);
  t.deepEqual(view.evacuatedDomains, new Set(["a"]));
  table.isDown = true;
  await clock.sleep(50);
  t.deepEqual(view.evacuatedDomains, new Set(["a"]));
  table.isDown = false;
  await clock.sleep(700);
  t.deepEqual(view.evacuatedDomains, new Set(["a"]));
  await deleteRow(table, "evacuate/a");
  await clock.sleep(50);
  t.is(view.evacuatedDomains.size, 0);
});

test("an evacuation whose deletion was missed ends with the next read of all rows", async (t) => {
  const { view, put, table, clock } = await start(t);
  await put("evacuate/a", "{}");
  await put("evacuate/b", "{}");
  await clock.sleep(50);
  table.isDown = true;
  await clock.sleep(50);
  table.isDown = false;
  await deleteRow(table, "evacuate/a");
  await clock.sleep(700);
  t.deepEqual(view.evacuatedDomains, new Set(["b"]));
});
