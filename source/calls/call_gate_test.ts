import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { AllowedRegions } from "../decisions/allowed_regions.ts";
import { ServerLimits } from "../installation/server_limits.ts";
import { ServerView } from "../installation/server_view.ts";
import { WorkSharing } from "../installation/work_sharing.ts";
import { WarmUpLimits } from "../installation/warm_up_limits.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { CallGateReport } from "./call_gate_report.ts";
import { NO_METRICS } from "../observability/metrics.ts";
import { CallGate, type GatedCall } from "./call_gate.ts";
import type { GateOutcome } from "./gate_outcome.ts";
import { ServerCallStatistics } from "./server_call_statistics.ts";

/** Time until the other nodes would know of a node's demand. */
const KNOWN_MILLISECONDS = 2000;

interface Fixture {
  readonly clock: ManualClock;
  readonly gate: CallGate;
  readonly statistics: ServerCallStatistics;
  /** Names of the calls that were let through, in order. */
  readonly passed: string[];
  readonly outcomes: Map<string, GateOutcome>;
  readonly work: WorkSharing;
  /** Counted outcomes by rank. */
  readonly counted: string[];
  pass(name: string, more?: Partial<GatedCall>): Promise<void>;
}

// A service whose servers have four slots each and room for two calls beyond them.
async function createFixture(
  isEngine = false,
  names: ReadonlyArray<string> = ["p1"],
  warmUps?: (clock: ManualClock) => WarmUpLimits,
): Promise<Fixture> {
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
        failureDomain: key,
        weightVersions: isEngine ? new Map([["m", 1]]) : new Map(),
      }),
    drainMilliseconds: 2000,
    stopping: stopping.signal,
  });
  await table.commit({
    conditions: [],
    puts: names.map((key) => ({
      table: "servers",
      partition: "",
      key,
      value: Buffer.alloc(0),
    })),
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
      ...(warmUps === undefined ? {} : { warmUps: warmUps(clock) }),
    }),
    isConnected: () => false,
  });
  const work = new WorkSharing({ clock });
  const counted: string[] = [];
  const gate = new CallGate({
    clock,
    random,
    servers,
    serverStatistics: statistics,
    work,
    report: new CallGateReport({
      ...NO_METRICS,
      count: (name, tags) => {
        counted.push([name, ...Object.values(tags)].join(" "));
      },
    }),
  });
  const passed: string[] = [];
  const outcomes = new Map<string, GateOutcome>();
  return {
    clock,
    gate,
    statistics,
    passed,
    outcomes,
    work,
    counted,
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
        if (names.length === 1) statistics.recordStart("p1");
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

// Guards against calls that wait for servers which a new configuration no longer allows them.
test("outdated waits end, and keep their turn when they ask again", async (t) => {
  const { clock, gate, statistics, passed, outcomes, pass, counted } =
    await createFixture();
  statistics.setRunningElsewhere(new Map([["p1", 6]]));
  let isOutdated = false;
  void pass("moved", { isOutdated: () => isOutdated });
  await clock.advance(5);
  void pass("other", { isOutdated: () => false });
  await clock.advance(5);
  gate.restartOutdatedWaits();
  await clock.advance(0);
  t.is(outcomes.size, 0);
  isOutdated = true;
  gate.restartOutdatedWaits();
  await clock.advance(0);
  t.deepEqual([...outcomes], [["moved", { kind: "outdated" }]]);
  t.deepEqual(counted, ["gated_calls 1 outdated"]);
  void pass("moved", { waitsSince: 0 });
  statistics.setRunningElsewhere(new Map([["p1", 5]]));
  await clock.advance(30);
  t.is(passed[0], "moved");
});

function allow(...names: ReadonlyArray<string>): AllowedRegions {
  return new AllowedRegions(new Set(names), (failureDomain) => failureDomain);
}

// Guards against calls that wait for a full region and hold others back.
test("calls that wait for a full region do not hold back calls that may use another one", async (t) => {
  const { clock, gate, statistics, passed, outcomes, pass } =
    await createFixture(false, ["p1", "p2"]);
  statistics.setRunningElsewhere(new Map([["p1", 6]]));
  for (const name of ["one", "two", "three"]) {
    void pass(`restricted ${name}`, { allowedRegions: allow("p1") });
  }
  await clock.advance(1);
  void pass("free");
  void pass("elsewhere", { allowedRegions: allow("p2") });
  await clock.advance(30);
  t.deepEqual(passed, ["free", "elsewhere"]);
  statistics.setRunningElsewhere(new Map());
  gate.recordEnd("s");
  await clock.advance(1);
  t.is(passed.length, 5);
  t.true([...outcomes.values()].every(({ kind }) => kind === "open"));
});

test("a call is rejected by the load of the servers that it may use", async (t) => {
  const { clock, statistics, outcomes, pass } = await createFixture(
    false,
    ["p1", "p2"],
  );
  statistics.setRunningElsewhere(new Map([["p1", 200]]));
  void pass("near", { allowedRegions: allow("p1") });
  void pass("far", { allowedRegions: allow("p2") });
  await clock.advance(0);
  t.is(outcomes.get("near")?.kind, "rejected");
  t.is(outcomes.get("far")?.kind, "open");
});

test("of the calls that may go anywhere, a restricted call waits behind its share only", async (t) => {
  const { clock, statistics, outcomes, pass } = await createFixture(
    false,
    ["p1", "p2", "p3", "p4"],
  );
  const full = ["p1", "p2", "p3", "p4"].map((name) => [name, 6] as const);
  statistics.setRunningElsewhere(new Map(full));
  for (let index = 0; index < 40; index += 1) void pass(`any ${index}`);
  await clock.advance(0);
  // Behind 10 calls of 50 ms with 4 slots, the call takes 50 * 11 / 4 ms and its own 50.
  const deadline = clock.monotonic() + 200;
  void pass("restricted", { allowedRegions: allow("p1"), deadline });
  const late = clock.monotonic() + 150;
  void pass("late", { allowedRegions: allow("p1"), deadline: late });
  await clock.advance(0);
  t.is(outcomes.get("restricted"), undefined, "it waits");
  t.is(outcomes.get("late")?.kind, "rejected");
});

// Guards against a burst: calls that are let through at the same moment do not run yet.
test("calls let through together count for the calls that share their servers", async (t) => {
  const { clock, gate, statistics, passed, pass } = await createFixture(
    false,
    ["p1", "p2"],
  );
  statistics.setRunningElsewhere(new Map([["p1", 6], ["p2", 6]]));
  for (let index = 0; index < 9; index += 1) {
    void pass(`near ${index}`, { priority: 0, allowedRegions: allow("p1") });
  }
  for (let index = 0; index < 9; index += 1) void pass(`any ${index}`);
  await clock.advance(1);
  t.deepEqual(passed, []);
  statistics.setRunningElsewhere(new Map([["p2", 6]]));
  gate.recordEnd("s");
  await clock.advance(1);
  t.is(passed.filter((name) => name.startsWith("near")).length, 6);
  t.is(passed.filter((name) => name.startsWith("any")).length, 0);
});

// A node that is alone, with the only server of the service in warm-up for 3 s once it knows so.
function startWarmUp(clock: ManualClock, perSecond: number): WarmUpLimits {
  const limits = new WarmUpLimits({
    node: "n1",
    clock,
    bounds: { warmUpOverageFactor: 1.5, warmUpSlackRequests: 5 },
    findService: () => "s",
    onMoreRoom: () => {},
  });
  const apply = (): void => {
    limits.apply({
      own: {
        demands: limits.toDemands(),
        heartbeatMilliseconds: 300,
        readAt: clock.monotonic(),
      },
      others: new Map(),
      nodes: ["n1"],
      heartbeatMilliseconds: 300,
    });
  };
  limits.recordRequest("p1");
  void readHeartbeats(clock, apply);
  void clock.sleep(KNOWN_MILLISECONDS).then(() =>
    limits.set("p1", {
      service: "s",
      requestsPerSecond: perSecond,
      endsAt: clock.monotonic() + 3000,
    })
  );
  return limits;
}

async function readHeartbeats(
  clock: ManualClock,
  apply: () => void,
): Promise<void> {
  for (let count = 0; count < 30; count += 1) {
    apply();
    await clock.sleep(300);
  }
}

// Guards against callers that wait for a server in warm-up until they time out, or return too early.
test("with all servers in warm-up, calls wait for their turn or are refused at once with an accurate time", async (t) => {
  const { clock, passed, outcomes, pass } = await createFixture(
    false,
    ["p1"],
    (manual) => startWarmUp(manual, 1),
  );
  await clock.advance(KNOWN_MILLISECONDS);
  for (let index = 0; index < 12; index += 1) void pass(`c${index}`);
  await clock.advance(1);
  const refused = [...outcomes].flatMap(([name, outcome]) =>
    outcome.kind === "rejected" ? [{ name, ...outcome }] : []
  );
  t.true(refused.length >= 8, `${refused.length} were refused at once`);
  for (const { name, retryAfterMilliseconds } of refused) {
    // Not before the calls ahead have passed at 1 a second, and at most until the warm-up has ended.
    t.true(retryAfterMilliseconds >= 500, `${name}: ${retryAfterMilliseconds}`);
    t.true(
      retryAfterMilliseconds <= 1.2 * 4000,
      `${name}: ${retryAfterMilliseconds}`,
    );
  }
  await clock.advance(1500);
  t.true(passed.length >= 1, "a call has passed");
  t.is(passed.length + refused.length, 12, "no call waits beyond its turn");
});

// Guards against limits on services without warm-up.
test("without a warm-up, limits of warm-ups change nothing", async (t) => {
  const { clock, passed, pass } = await createFixture(
    false,
    ["p1"],
    (manual) =>
      new WarmUpLimits({
        node: "n1",
        clock: manual,
        bounds: { warmUpOverageFactor: 1.5, warmUpSlackRequests: 5 },
        findService: () => undefined,
        onMoreRoom: () => t.fail(),
      }),
  );
  for (let index = 0; index < 6; index += 1) void pass(`c${index}`);
  await clock.advance(1);
  t.is(passed.length, 6);
});

// Guards against a large organisation that fills the queue of a service.
test("a call of a small organisation passes before the backlog of a large one", async (t) => {
  const { clock, gate, statistics, passed, pass, counted } =
    await createFixture();
  statistics.setRunningElsewhere(new Map([["p1", 6]]));
  for (let index = 0; index < 20; index += 1) {
    void pass(`large ${index}`, { organisation: "large" });
  }
  await clock.advance(10);
  void pass("small", { organisation: "small" });
  statistics.setRunningElsewhere(new Map([["p1", 4]]));
  gate.recordEnd("s");
  await clock.advance(1);
  t.deepEqual(passed, ["large 0", "small"]);
  t.deepEqual(counted, ["gated_calls 1 served", "gated_calls 1 served"]);
});

// Guards against callers that get a larger share by coming back at once or sending several times.
test("calls that were refused and come back, or are sent several times, don't raise the share", async (t) => {
  const { clock, gate, statistics, passed, pass } = await createFixture();
  statistics.setRunningElsewhere(new Map([["p1", 6]]));
  let sequence = 0;
  const send = async (organisation: string, copies: number): Promise<void> => {
    const deadline = clock.monotonic() + 400;
    const calls = Array.from({ length: copies }, () => {
      sequence += 1;
      return pass(`${organisation} ${sequence}`, { organisation, deadline });
    });
    await Promise.all(calls);
  };
  for (let round = 0; round < 200; round += 1) {
    void send("patient", 1);
    void send("hasty", 5);
    // One slot becomes free and is taken again.
    statistics.setRunningElsewhere(new Map([["p1", 5 - passed.length]]));
    gate.recordEnd("s");
    await clock.advance(20);
  }
  const count = (name: string): number =>
    passed.filter((each) => each.startsWith(name)).length;
  t.true(passed.length >= 150, String(passed.length));
  t.true(Math.abs(count("patient") - count("hasty")) <= 2);
});

const URGENT_ELSEWHERE = {
  sequence: 1,
  services: new Map([[
    "s",
    [{ level: 0, organisation: "b", waiting: 3, use: 0 }],
  ]]),
};

// Guards against less urgent calls that take the slots for which urgent ones wait at another node.
test("free slots are left to urgent calls that wait at another node, for a limited time", async (t) => {
  const { clock, statistics, work, passed, pass } = await createFixture();
  statistics.setRunningElsewhere(new Map([["p1", 4]]));
  work.apply([{
    node: "n2",
    heartbeatMilliseconds: 600,
    work: URGENT_ELSEWHERE,
  }]);
  const deadline = clock.monotonic() + 5000;
  void pass("less urgent", { deadline });
  void pass("as urgent", { priority: 0, organisation: "b", deadline });
  await clock.advance(500);
  t.deepEqual(passed, ["as urgent"]);
  // Two heartbeats stay away.
  await clock.advance(800);
  t.deepEqual(passed, ["as urgent", "less urgent"]);
});

// Guards against slots that stay unused because the node they are left to can't use them.
test("claims of a node that does not take the slots are ignored", async (t) => {
  const { clock, statistics, work, passed, pass } = await createFixture();
  statistics.setRunningElsewhere(new Map([["p1", 4]]));
  void pass("blocker", { deadline: clock.monotonic() + 9000 });
  t.deepEqual(passed, []);
  await clock.advance(1);
  const deadline = clock.monotonic() + 9000;
  for (let sequence = 1; sequence <= 12; sequence += 1) {
    work.apply([{
      node: "n2",
      heartbeatMilliseconds: 300,
      work: { ...URGENT_ELSEWHERE, sequence },
    }]);
    if (sequence === 1) void pass("less urgent", { deadline });
    await clock.advance(100);
    if (sequence === 9) t.deepEqual(passed, ["blocker"]);
  }
  t.deepEqual(passed, ["blocker", "less urgent"]);
});
