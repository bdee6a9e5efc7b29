import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import {
  type RecordedEvent,
  RecordingEventLog,
} from "../observability/event_log.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import {
  type AllowedRegions,
  decideAllowedRegions,
} from "../decisions/allowed_regions.ts";
import { OperatorView } from "./operator_view.ts";
import { ServerView } from "./server_view.ts";

const SEED = 11;
const PREFIX = "evacuate/";
const READ_MILLISECONDS = 150;
/** Time in which a follower notices an outage of the store, and after which it reads again. */
const OUTAGE_MILLISECONDS = 1200;
const REREAD_MILLISECONDS = 700;

interface Fixture {
  readonly table: MemoryDurableTable;
  readonly log: RecordingEventLog;
  readonly view: ServerView;
  /** Number of changes that watchers were told of. */
  readonly countNotices: () => number;
}

function toPlace(
  key: string,
): { table: string; partition: string; key: string } {
  return { table: key.includes("/") ? "op" : "servers", partition: "", key };
}

async function put(table: MemoryDurableTable, key: string): Promise<void> {
  const value = Buffer.from("{}");
  await table.commit({
    conditions: [],
    puts: [{ ...toPlace(key), value }],
  });
}

async function remove(table: MemoryDurableTable, key: string): Promise<void> {
  await table.commit({ conditions: [], puts: [], deletes: [toPlace(key)] });
}

// The first letter of a server's identifier is its failure domain.
function startView(table: MemoryDurableTable, t: ExecutionContext): Fixture {
  const stopping = new AbortController();
  t.teardown(() => stopping.abort());
  const log = new RecordingEventLog();
  const common = {
    clock: new SystemClock(),
    log,
    table,
    stopping: stopping.signal,
  };
  const operator = new OperatorView({
    ...common,
    tableName: "op",
    readRow: (key) =>
      key.startsWith(PREFIX)
        ? { kind: "evacuation", failureDomain: key.slice(PREFIX.length) }
        : { kind: "other" },
    keyWithdrawalMilliseconds: 3000,
  });
  const view = new ServerView({
    ...common,
    tableName: "servers",
    readRow: (key) =>
      createServerEntry(key, {
        failureDomain: key.slice(0, 1),
        softwareVersion: `v${key.slice(0, 1)}`,
      }),
    drainMilliseconds: 200,
  });
  let notices = 0;
  operator.watch(() => view.setEvacuatedDomains(operator.evacuatedDomains));
  view.watch(() => notices += 1);
  void operator.run();
  void view.run();
  return { table, log, view, countNotices: () => notices };
}

async function start(
  t: ExecutionContext,
  keys: ReadonlyArray<string>,
): Promise<Fixture> {
  const table = new MemoryDurableTable();
  for (const key of keys) await put(table, key);
  const fixture = startView(table, t);
  await wait(50);
  return fixture;
}

function wait(milliseconds: number): Promise<void> {
  return new SystemClock().sleep(milliseconds);
}

function names({ view }: Fixture): string {
  return view.ofService("s").map(({ identifier }) => identifier).sort()
    .join(" ");
}

function listEvacuations({ log }: Fixture): ReadonlyArray<string> {
  return log.events
    .filter(({ name }: RecordedEvent) => name.startsWith("evacuation"))
    .map(({ name, fields }) =>
      `${name} ${fields["failureDomain"]} ${fields["servers"]}`
    );
}

test("the servers of an evacuated failure domain take no requests until its row is deleted", async (t) => {
  const fixture = await start(t, ["a1", "a2", "b1"]);
  const { table, view } = fixture;
  const before = fixture.countNotices();
  await put(table, "evacuate/a");
  await wait(READ_MILLISECONDS);
  t.is(names(fixture), "b1");
  t.deepEqual(["a1", "b1"].map((name) => view.isServing(name)), [false, true]);
  t.is(view.servers.size, 3);
  t.is(view.evacuatedServers, 2);
  t.false(view.isServiceEvacuated("s"));
  t.true(fixture.countNotices() > before);
  await remove(table, "evacuate/a");
  await wait(READ_MILLISECONDS);
  t.is(names(fixture), "a1 a2 b1");
  t.deepEqual(listEvacuations(fixture), [
    "evacuationStarted a 2",
    "evacuationEnded a 2",
  ]);
});

test("two failure domains are evacuated independently of each other", async (t) => {
  const fixture = await start(t, ["a1", "b1"]);
  const { table, view } = fixture;
  await put(table, "evacuate/a");
  await put(table, "evacuate/b");
  await wait(READ_MILLISECONDS);
  t.is(names(fixture), "");
  t.true(view.isServiceEvacuated("s"));
  t.false(view.isServiceEvacuated("unknown"));
  await remove(table, "evacuate/a");
  await wait(READ_MILLISECONDS);
  t.is(names(fixture), "a1");
  t.false(view.isServiceEvacuated("s"));
});

test("the only allowed region of a request is evacuated while servers of others take requests", async (t) => {
  const fixture = await start(t, ["a1", "b1", "evacuate/a"]);
  const allow = (region: string): AllowedRegions | undefined =>
    decideAllowedRegions({
      lists: [new Set([region])],
      regionOf: (failureDomain) => failureDomain,
    });
  const { view } = fixture;
  t.true(view.isServiceEvacuated("s", allow("a")));
  t.false(view.isServiceEvacuated("s", allow("b")));
  t.false(view.isServiceEvacuated("s"));
});

test("a view that starts during an evacuation leaves its servers out from the first read on", async (t) => {
  const fixture = await start(t, ["a1", "b1", "evacuate/a"]);
  t.is(names(fixture), "b1");
  t.deepEqual(listEvacuations(fixture), ["evacuationStarted a 1"]);
});

test("an evacuated server that registers meanwhile takes no requests", async (t) => {
  const fixture = await start(t, ["b1", "evacuate/a"]);
  await put(fixture.table, "a1");
  await wait(READ_MILLISECONDS);
  t.is(names(fixture), "b1");
});

test("software versions of evacuated servers stay known", async (t) => {
  const { view } = await start(t, ["a1", "b1", "evacuate/a"]);
  await wait(20);
  t.deepEqual([...view.softwareVersionsSeen("s", 10) ?? []].sort(), [
    "va",
    "vb",
  ]);
});

test("a row that is written again notifies nobody", async (t) => {
  const fixture = await start(t, ["a1", "evacuate/a"]);
  const before = fixture.countNotices();
  await put(fixture.table, "evacuate/a");
  await wait(READ_MILLISECONDS);
  t.is(fixture.countNotices(), before);
});

test("an outage of the store does not end an evacuation, and entries retained after it stay evacuated", async (t) => {
  const fixture = await start(t, ["a1", "b1", "evacuate/a"]);
  const { table, view } = fixture;
  table.isDown = true;
  await wait(OUTAGE_MILLISECONDS);
  t.is(names(fixture), "b1");
  table.isDown = false;
  await remove(table, "a1");
  await remove(table, "b1");
  await wait(REREAD_MILLISECONDS);
  t.false(view.isCurrent);
  t.true(view.servers.has("a1"));
  t.is(names(fixture), "b1");
});

test("an evacuation whose row was deleted in an outage ends after it", async (t) => {
  const fixture = await start(t, ["a1", "b1", "evacuate/a"]);
  const { table } = fixture;
  table.isDown = true;
  await wait(OUTAGE_MILLISECONDS);
  table.isDown = false;
  // After failed calls all rows are read again, so the deletion shows as a missing row.
  await remove(table, "evacuate/a");
  await wait(REREAD_MILLISECONDS);
  t.is(names(fixture), "a1 b1");
  t.deepEqual(listEvacuations(fixture), [
    "evacuationStarted a 1",
    "evacuationEnded a 1",
  ]);
});

test("without the row of an evacuation, all servers take requests and nothing is logged", async (t) => {
  const fixture = await start(t, ["a1", "b1", "other/a"]);
  fixture.view.setEvacuatedDomains(new Set());
  t.is(names(fixture), "a1 b1");
  t.deepEqual(listEvacuations(fixture), []);
});

test("for any servers and evacuations, exactly those of other failure domains take requests", async (t) => {
  const { view } = await start(
    t,
    ["a1", "a2", "b1", "c1", "c2", "c3", "d1"],
  );
  fc.assert(
    fc.property(
      fc.array(fc.subarray(["a", "b", "c", "d", "e"]), { maxLength: 6 }),
      (sequence) => {
        for (const domains of sequence) {
          const evacuated = new Set(domains);
          view.setEvacuatedDomains(evacuated);
          const expected = [...view.servers.values()].filter((server) =>
            !evacuated.has(server.failureDomain)
          );
          t.deepEqual(view.ofService("s"), expected);
          for (const server of view.servers.values()) {
            t.is(view.isServing(server.identifier), expected.includes(server));
          }
          t.is(view.ofServiceWithEvacuated("s").length, view.servers.size);
          t.is(view.isServiceEvacuated("s"), expected.length === 0);
        }
      },
    ),
    { seed: SEED },
  );
});
