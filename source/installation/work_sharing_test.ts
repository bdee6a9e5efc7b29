import test from "ava";
import { ManualClock } from "../utilities/manual_clock.ts";
import { toWorkTuple, type WorkEntry, type WorkRecord } from "./work_record.ts";
import { toShortName, type WaitingWork, WorkSharing } from "./work_sharing.ts";

const MAXIMUM_BYTES = 120;

interface Fixture {
  readonly clock: ManualClock;
  readonly work: WorkSharing;
  readonly waiting: WaitingWork[];
  readonly ignored: string[];
}

function createFixture(): Fixture {
  const clock = new ManualClock();
  const waiting: WaitingWork[] = [];
  const ignored: string[] = [];
  const work = new WorkSharing({
    clock,
    onClaimIgnored: (service) => ignored.push(service),
  });
  work.addSource(() => waiting);
  return { clock, work, waiting, ignored };
}

function createWaiting(more: Partial<WaitingWork> = {}): WaitingWork {
  return {
    service: "s",
    level: 1,
    organisation: "a",
    isClaiming: true,
    ...more,
  };
}

function createRecord(
  sequence: number,
  entry: Partial<WorkEntry> = {},
): WorkRecord {
  return {
    sequence,
    services: new Map([[
      "s",
      [{ level: 0, organisation: "b", waiting: 3, use: 0, ...entry }],
    ]]),
  };
}

test("a node publishes nothing while nothing waits, and its use while something waits elsewhere", (t) => {
  const { work, waiting } = createFixture();
  work.recordUse("s", { organisation: "a", milliseconds: 1000 });
  t.is(work.toRecord(), undefined);
  work.apply([{
    node: "n2",
    heartbeatMilliseconds: 300,
    work: createRecord(1),
  }]);
  t.deepEqual(work.toRecord()?.services.get("s"), [
    { level: 0, organisation: "a", waiting: 0, use: 1000 },
  ]);
  work.apply([]);
  waiting.push(createWaiting(), createWaiting(), createWaiting({ level: 0 }));
  t.deepEqual(work.toRecord()?.services.get("s"), [
    { level: 0, organisation: "a", waiting: 1, use: 1000 },
    { level: 1, organisation: "a", waiting: 2, use: 0 },
  ]);
});

// Guards against heartbeats that grow with the number of organisations.
test("a record is bounded in bytes and names the most urgent and the largest first", (t) => {
  const { work, waiting } = createFixture();
  for (let index = 0; index < 86; index += 1) {
    const organisation = `organisation with the long name ${index}`;
    work.recordUse("s", { organisation, milliseconds: 100 * index });
    waiting.push(
      createWaiting({ organisation, level: index % 3 }),
      createWaiting({ organisation, service: "p" }),
    );
  }
  const record = work.toRecord();
  const bytes = record && JSON.stringify(toWorkTuple(record)).length;
  t.true((bytes ?? Infinity) <= MAXIMUM_BYTES, String(bytes));
  const [first, second] = record?.services.get("s") ?? [];
  t.is(first?.level, 0);
  t.is(
    second?.organisation,
    toShortName("organisation with the long name 85"),
  );
  t.is(record?.services.get("p")?.[0]?.waiting, 1);
});

test("the use of all nodes counts, and decays when no heartbeat arrives", async (t) => {
  const { clock, work } = createFixture();
  work.recordUse("s", { organisation: "b", milliseconds: 100 });
  work.apply([
    {
      node: "n2",
      heartbeatMilliseconds: 300,
      work: createRecord(1, { use: 500 }),
    },
    { node: "n3", heartbeatMilliseconds: 300 },
  ]);
  const useOf = (): number => work.toServiceUse("s", 40).useOf("b");
  t.is(useOf(), 600);
  await clock.advance(10_000);
  t.true(useOf() < 250);
});

// Guards against claims of a node that has stopped and is not known to be lost yet.
test("what a node says to wait is ignored after two intervals without a new record", async (t) => {
  const { clock, work } = createFixture();
  const own = { level: 1, organisation: "a", use: 0 };
  const count = (): number =>
    work.countAhead("s", own, work.toServiceUse("s", 40));
  const news = { node: "n2", heartbeatMilliseconds: 300 };
  work.apply([{ ...news, work: createRecord(1) }]);
  t.is(count(), 3);
  await clock.advance(500);
  work.apply([{ ...news, work: createRecord(1) }]);
  t.is(count(), 3);
  await clock.advance(200);
  work.apply([{ ...news, work: createRecord(1) }]);
  t.is(count(), 0);
  work.apply([{ ...news, work: createRecord(2) }]);
  t.is(count(), 3);
});

// Guards against slots that stay free while something waits for them.
test("slots are left for a second at most, then claims are ignored for a while", async (t) => {
  const { clock, work, ignored } = createFixture();
  const leaves = (free: number, ahead: number): boolean =>
    work.leavesSlots("s", { free, ahead });
  t.false(leaves(0, 3));
  t.false(leaves(4, 3));
  t.false(leaves(2, 0));
  t.true(leaves(2, 3));
  await clock.advance(900);
  t.true(leaves(2, 3));
  // The slots were taken in the meantime, so the next ones are left again.
  t.false(leaves(0, 3));
  t.true(leaves(2, 3));
  await clock.advance(1000);
  t.false(leaves(2, 3));
  t.deepEqual(ignored, ["s"]);
  await clock.advance(5000);
  t.false(leaves(2, 3));
  t.false(leaves(0, 3));
  t.false(leaves(1, 3));
  await clock.advance(5000);
  t.true(leaves(2, 3));
  t.deepEqual(ignored, ["s"]);
});
