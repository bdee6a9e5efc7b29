import test from "ava";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import type { UsageReport } from "./duty_client.ts";
import type { DutyLease } from "./duty_lease.ts";
import { USAGE_TABLE, type UsageCounts } from "./usage_meter.ts";
import { UsageReporting } from "./usage_reporting.ts";

const WINDOW_MILLISECONDS = 5000;
const LATE_MILLISECONDS = 10_000;

interface Trial {
  readonly clock: ManualClock;
  readonly table: MemoryDurableTable;
  readonly reports: UsageReport[];
  readonly window: number;
  save(window: number, counts: UsageCounts): Promise<void>;
  countRows(window: number): Promise<number>;
  /** Starts a process that holds the duty. */
  hold(): () => void;
}

function createTrial(): Trial {
  const clock = new ManualClock();
  const table = new MemoryDurableTable();
  const reports: UsageReport[] = [];
  const lease = {
    ifHeld: () => ({ holder: "n", fencingNumber: 1 }),
    mayAct: () => true,
  } as unknown as DutyLease;
  return {
    clock,
    table,
    reports,
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
    hold: () => {
      const stopping = new AbortController();
      const reporting = new UsageReporting({
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
        lease,
        windowMilliseconds: WINDOW_MILLISECONDS,
        lateMilliseconds: LATE_MILLISECONDS,
        startedAt: clock.wall(),
        stopping: stopping.signal,
      });
      void reporting.run();
      return () => stopping.abort();
    },
  };
}

test("a holder reports the windows that ended before it was started", async (t) => {
  const trial = createTrial();
  const { clock, window, reports } = trial;
  await trial.save(window, { a: 3 });
  await trial.save(window + 1, { a: 4, b: 1 });
  await clock.advance(3 * WINDOW_MILLISECONDS);
  const stop = trial.hold();
  await clock.advance(1000);
  stop();
  t.deepEqual(reports, [
    { window, counts: { a: 3 } },
    { window: window + 1, counts: { a: 4, b: 1 } },
  ]);
});

test("a window of which nothing is known and that ended before the start is not reported", async (t) => {
  const trial = createTrial();
  await trial.clock.advance(10 * WINDOW_MILLISECONDS);
  const stop = trial.hold();
  await trial.clock.advance(1000);
  stop();
  t.deepEqual(trial.reports, []);
});

test("a second holder reports nothing again", async (t) => {
  const trial = createTrial();
  await trial.save(trial.window, { a: 3 });
  await trial.clock.advance(2 * WINDOW_MILLISECONDS);
  for (let holder = 0; holder < 2; holder += 1) {
    const stop = trial.hold();
    await trial.clock.advance(1000);
    stop();
  }
  t.is(trial.reports.length, 1);
});

test("figures are deleted when no holder can report them any more", async (t) => {
  const trial = createTrial();
  const { clock, window } = trial;
  await trial.save(window, { a: 3 });
  const stop = trial.hold();
  await clock.advance(60_000);
  t.true(await trial.countRows(window) > 0);
  await clock.advance(90_000);
  stop();
  t.is(await trial.countRows(window), 0);
  t.true(await trial.countRows(window + 20) > 0);
});
