import test from "ava";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import type { UsageReport } from "./duty_client.ts";
import type { DutyLease } from "./duty_lease.ts";
import { USAGE_TABLE, type UsageCounts } from "./usage_meter.ts";
import { UsageWindowReporter } from "./usage_window_reporter.ts";

const WINDOW_MILLISECONDS = 5000;
const REPORT_DEADLINE_MILLISECONDS = 10_000;
const READ_MILLISECONDS = 2;
const DAY_MILLISECONDS = 86_400_000;

interface Fixture {
  readonly clock: ManualClock;
  readonly table: MemoryDurableTable;
  readonly reports: UsageReport[];
  readonly window: number;
  save(window: number, counts: UsageCounts): Promise<void>;
  countRows(window: number): Promise<number>;
  /** Index of the last window that all nodes have settled; undefined while it is unknown. */
  settledThrough: number | undefined;
  /** Starts a process that holds the duty lease, and returns a function that stops it. */
  startHolder(): () => void;
}

function createFixture(): Fixture {
  const clock = new ManualClock();
  const table = new MemoryDurableTable();
  const reports: UsageReport[] = [];
  const lease: Partial<DutyLease> = {
    getHeldDuty: () => ({ holder: "n", fencingNumber: 1 }),
    isStillHeld: () => true,
    toCheckInterval: (milliseconds) => milliseconds,
  };
  const fixture: Fixture = {
    clock,
    table,
    reports,
    settledThrough: undefined,
    window: Math.floor(clock.wall() / WINDOW_MILLISECONDS),
    save: async (window, counts) => {
      await table.commit({
        conditions: [],
        puts: [{
          table: USAGE_TABLE,
          partition: String(window),
          key: "n/1",
          value: Buffer.from(JSON.stringify(counts)),
        }],
      });
    },
    countRows: async (window) => {
      const outcome = await table.read(USAGE_TABLE, {
        partition: String(window),
      });
      return outcome.kind === "ok" ? outcome.value.rows.length : -1;
    },
    startHolder: () => {
      const stopping = new AbortController();
      const reporting = new UsageWindowReporter({
        clock,
        log: new RecordingEventLog(),
        table,
        duties: {
          reportUsage: (report) => {
            reports.push(report);
            return Promise.resolve({ kind: "accepted" });
          },
          orderServers: () => Promise.resolve({ kind: "accepted" }),
        },
        lease: lease as DutyLease,
        settledThrough: () => fixture.settledThrough,
        windowMilliseconds: WINDOW_MILLISECONDS,
        reportDeadlineMilliseconds: REPORT_DEADLINE_MILLISECONDS,
        startedAt: clock.wall(),
        stopping: stopping.signal,
      });
      void reporting.run();
      return () => stopping.abort();
    },
  };
  return fixture;
}

test("a lease holder reports the windows that ended before it started", async (t) => {
  const fixture = createFixture();
  const { clock, window, reports } = fixture;
  await fixture.save(window, { a: 3 });
  await fixture.save(window + 1, { a: 4, b: 1 });
  await clock.advance(3 * WINDOW_MILLISECONDS);
  const stop = fixture.startHolder();
  await clock.advance(1000);
  stop();
  t.deepEqual(reports, [
    { window, counts: { a: 3 } },
    { window: window + 1, counts: { a: 4, b: 1 } },
  ]);
});

test("a window without stored counts that ended before the start is not reported", async (t) => {
  const fixture = createFixture();
  await fixture.clock.advance(10 * WINDOW_MILLISECONDS);
  const stop = fixture.startHolder();
  await fixture.clock.advance(1000);
  stop();
  t.deepEqual(fixture.reports, []);
});

test("a second lease holder does not report a window again", async (t) => {
  const fixture = createFixture();
  await fixture.save(fixture.window, { a: 3 });
  await fixture.clock.advance(2 * WINDOW_MILLISECONDS);
  for (let holder = 0; holder < 2; holder += 1) {
    const stop = fixture.startHolder();
    await fixture.clock.advance(1000);
    stop();
  }
  t.is(fixture.reports.length, 1);
});

test("counts are deleted once no lease holder can report them", async (t) => {
  const fixture = createFixture();
  const { clock, window } = fixture;
  await fixture.save(window, { a: 3 });
  const stop = fixture.startHolder();
  await clock.advance(60_000);
  t.true(await fixture.countRows(window) > 0);
  await clock.advance(90_000);
  stop();
  t.is(await fixture.countRows(window), 0);
  t.true(await fixture.countRows(window + 20) > 0);
});

// Guards against reports that wait until the counts of all windows in between are deleted, and
// against the loss of counts that were not reported yet.
for (const days of [1, 30, 10_000]) {
  test(`a step of the time by ${days} days and back does not hold back or lose reports`, async (t) => {
    const fixture = createFixture();
    const { clock, table, reports } = fixture;
    const stop = fixture.startHolder();
    await clock.advance(2 * WINDOW_MILLISECONDS);
    const read = table.read.bind(table);
    table.read = async (...query) => {
      await clock.sleep(READ_MILLISECONDS);
      return read(...query);
    };
    const before = Math.floor(clock.wall() / WINDOW_MILLISECONDS);
    await fixture.save(before, { a: 2 });
    clock.stepWall(days * DAY_MILLISECONDS);
    await clock.advance(2 * REPORT_DEADLINE_MILLISECONDS);
    clock.stepWall(-days * DAY_MILLISECONDS);
    const window = Math.floor(clock.wall() / WINDOW_MILLISECONDS);
    await fixture.save(window, { a: 3 });
    await clock.advance(WINDOW_MILLISECONDS + REPORT_DEADLINE_MILLISECONDS);
    const inTime = reports.filter((report) =>
      [before, window].includes(report.window)
    );
    await clock.advance(180_000);
    table.read = read;
    stop();
    t.deepEqual(inTime, [
      { window: before, counts: { a: 2 } },
      { window, counts: { a: 3 } },
    ]);
    t.is(await fixture.countRows(window), 0);
  });
}

test("a window that all nodes have settled is reported before a long outage of the store", async (t) => {
  const fixture = createFixture();
  const { clock, table, window, reports } = fixture;
  await fixture.save(window, { a: 3 });
  fixture.settledThrough = window - 1;
  const stop = fixture.startHolder();
  const untilEnd = (window + 1) * WINDOW_MILLISECONDS - clock.wall();
  await clock.advance(untilEnd + 1000);
  t.deepEqual(reports, []);
  fixture.settledThrough = window;
  await clock.advance(1000);
  table.isDown = true;
  await clock.advance(REPORT_DEADLINE_MILLISECONDS);
  stop();
  t.deepEqual(reports, [{ window, counts: { a: 3 } }]);
});

test("a node that does not settle a window delays its report, but not beyond the deadline", async (t) => {
  const fixture = createFixture();
  const { clock, window, reports } = fixture;
  await fixture.save(window, { a: 3 });
  fixture.settledThrough = window - 1;
  const stop = fixture.startHolder();
  const untilEnd = (window + 1) * WINDOW_MILLISECONDS - clock.wall();
  await clock.advance(untilEnd + 3000);
  t.deepEqual(reports, []);
  await clock.advance(0.5 * REPORT_DEADLINE_MILLISECONDS - 3000);
  stop();
  t.deepEqual(reports, [{ window, counts: { a: 3 } }]);
});
