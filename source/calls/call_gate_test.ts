import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { ServerLimits } from "../installation/server_limits.ts";
import { ServerView } from "../installation/server_view.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { CallGate, type GatedCall, type GateOutcome } from "./call_gate.ts";
import { ServerCallStatistics } from "./server_call_statistics.ts";

interface Fixture {
  readonly clock: ManualClock;
  readonly gate: CallGate;
  readonly statistics: ServerCallStatistics;
  /** Names of the calls that were let through, in order. */
  readonly passed: string[];
  readonly outcomes: Map<string, GateOutcome>;
  pass(name: string, more?: Partial<GatedCall>): Promise<void>;
}

// A service with one server of four slots and room for two calls beyond them.
async function createFixture(isEngine = false): Promise<Fixture> {
  const clock = new ManualClock();
  const random = createRandomSource(1);
  const table = new MemoryDurableTable();
  const stopping = new AbortController();
  const servers = new ServerView({
    clock,
    table,
    log: new RecordingEventLog(),
    tableName: "servers",
    readRow: (key) =>
      createServerEntry(key, {
        weightVersions: isEngine ? new Map([["m", 1]]) : new Map(),
      }),
    drainMilliseconds: 2000,
    stopping: stopping.signal,
  });
  await table.commit({
    conditions: [],
    puts: [{
      table: "servers",
      partition: "",
      key: "p1",
      value: Buffer.alloc(0),
    }],
  });
  void servers.run();
  await clock.advance(1);
  stopping.abort();
  const statistics = new ServerCallStatistics({
    clock,
    random,
    failureDomain: "a",
    limits: new ServerLimits({
      node: "n1",
      clock,
      log: new RecordingEventLog(),
    }),
    isConnected: () => false,
  });
  const gate = new CallGate({
    clock,
    random,
    servers,
    serverStatistics: statistics,
  });
  const passed: string[] = [];
  const outcomes = new Map<string, GateOutcome>();
  return {
    clock,
    gate,
    statistics,
    passed,
    outcomes,
    pass: async (name, more = {}) => {
      const outcome = await gate.pass({
        service: "s",
        priority: 1,
        isDeferrable: false,
        deadline: clock.monotonic() + 1500,
        signal: new AbortController().signal,
        ...more,
      });
      outcomes.set(name, outcome);
      if (outcome.kind === "open") {
        passed.push(name);
        statistics.recordStart("p1");
      }
    },
  };
}

test("calls beyond what the servers run wait and pass in the order of their ranks", async (t) => {
  const { clock, gate, statistics, passed, pass } = await createFixture();
  statistics.setRunningElsewhere(new Map([["p1", 6]]));
  void pass("low", { priority: 2 });
  void pass("scoring", { isDeferrable: true });
  void pass("high");
  await clock.advance(1);
  t.deepEqual(passed, []);
  statistics.setRunningElsewhere(new Map([["p1", 5]]));
  gate.recordEnd("s");
  await clock.advance(1);
  t.deepEqual(passed, ["high"]);
  statistics.setRunningElsewhere(new Map());
  await clock.advance(30);
  t.deepEqual(passed, ["high", "scoring", "low"]);
});

test("a call that would wait beyond its deadline is rejected at once", async (t) => {
  const { clock, statistics, outcomes, pass } = await createFixture();
  statistics.setRunningElsewhere(new Map([["p1", 200]]));
  void pass("hopeless", { deadline: clock.monotonic() + 1000 });
  await clock.advance(0);
  const outcome = outcomes.get("hopeless");
  t.is(outcome?.kind, "rejected");
  t.true(
    outcome?.kind === "rejected" && outcome.retryAfterMilliseconds > 1000,
  );
});

test("a waiting call whose caller leaves is cancelled", async (t) => {
  const { clock, statistics, passed, outcomes, pass } = await createFixture();
  statistics.setRunningElsewhere(new Map([["p1", 6]]));
  const left = new AbortController();
  void pass("left", { signal: left.signal });
  left.abort();
  statistics.setRunningElsewhere(new Map());
  await clock.advance(30);
  t.is(outcomes.get("left")?.kind, "cancelled");
  t.deepEqual(passed, []);
});

test("calls to engines pass, as engines order requests themselves", async (t) => {
  const { clock, statistics, passed, pass } = await createFixture(true);
  statistics.setRunningElsewhere(new Map([["p1", 50]]));
  void pass("one");
  await clock.advance(0);
  t.deepEqual(passed, ["one"]);
});
