import fc from "fast-check";
import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { type LimitRecord, ServerLimits } from "./server_limits.ts";

const TICK_MILLISECONDS = 25;
const WINDOW_MILLISECONDS = 4000;
/** Time after the limit was first named from which it must be kept. */
const GRACE_MILLISECONDS = 3000;
/** Time after an answer that named the limit from which a node's requests count. */
const NOTICE_MILLISECONDS = 500;
const DURATION_MILLISECONDS = 24_000;
const SERVER = createServerEntry("e1");

/** Number of requests that arrive at a node in one tick. */
type Arrivals = (
  node: number,
  now: number,
  random: RandomSource,
) => number;

const PATTERNS: Readonly<Record<string, Arrivals>> = {
  "calls at all nodes": (_node, _now, random) => Number(random.next() < 0.3),
  "few calls": (_node, _now, random) => Number(random.next() < 0.005),
  "a surge at all nodes": (_node, now) =>
    now % 9000 >= 6000 && now % 9000 < 7000 ? 1 : 0,
  "steps of two nodes": (node, now) =>
    node < 2 && (now + 2000 * node) % 4000 === 0 ? 24 : 0,
  "steps of two nodes beside a few calls at all": (node, now, random) =>
    Number(random.next() < 0.01) +
    (node < 2 && (now + 2000 * node) % 4000 === 0 ? 24 : 0),
  "steps that move to another node": (node, now) =>
    node === Math.floor(now / 5000) % 4 && now % 1000 === 0 ? 20 : 0,
  "steps of all nodes at once": (_node, now) => now % 8000 === 0 ? 24 : 0,
};

interface Scenario {
  readonly pattern: string;
  readonly nodes: number;
  readonly requestsPerSecond: number;
  readonly heartbeatMilliseconds: number;
  /** Time at which the store becomes unreachable for 7 s. */
  readonly outageAt: number;
  readonly seed: number;
}

interface SimulatedNode {
  readonly limits: ServerLimits;
  readonly lastHeartbeat: { at: number; records: ReadonlyArray<LimitRecord> };
  waiting: number;
  /** Time of the first answer to the node that named the limit. */
  toldAt: number;
}

interface Played {
  /** Largest number of requests in 4 s that count. */
  readonly busiest: number;
  /** Number of requests after the grace. */
  readonly sent: number;
}

/** Plays nodes that send as soon as their limits allow and hear of each other with a delay. */
async function play(scenario: Scenario): Promise<Played> {
  const { nodes, requestsPerSecond, heartbeatMilliseconds } = scenario;
  const clock = new ManualClock();
  const random = createRandomSource(scenario.seed);
  const names = Array.from({ length: nodes }, (_unused, index) => `n${index}`);
  const all = names.map((node): SimulatedNode => ({
    limits: new ServerLimits({ node, clock, log: new RecordingEventLog() }),
    lastHeartbeat: {
      at: -Math.floor(random.next() * heartbeatMilliseconds),
      records: [],
    },
    waiting: 0,
    toldAt: Infinity,
  }));
  for (const { limits } of all) {
    limits.apply({ records: [], nodes: names, heartbeatMilliseconds });
  }
  const arrive = PATTERNS[scenario.pattern];
  const counted: number[] = [];
  let namedAt = Infinity;
  let sent = 0;
  for (let now = 0; now < DURATION_MILLISECONDS; now += TICK_MILLISECONDS) {
    const isReachable = now < scenario.outageAt ||
      now >= scenario.outageAt + 7000;
    for (const [index, node] of all.entries()) {
      const { lastHeartbeat, limits } = node;
      if (isReachable && now - lastHeartbeat.at >= heartbeatMilliseconds) {
        limits.apply({
          records: all.flatMap((other) =>
            other === node ? [] : other.lastHeartbeat.records
          ),
          nodes: names,
          heartbeatMilliseconds,
        });
        lastHeartbeat.at = now;
        lastHeartbeat.records = limits.toRecords();
      }
      const arrivals = arrive?.(index, now, random) ?? 0;
      node.waiting += arrivals;
      while (node.waiting > 0 && limits.getWait("e1") === 0) {
        limits.recordRequest("e1");
        limits.recordAnswer(SERVER, requestsPerSecond);
        node.waiting -= 1;
        namedAt = Math.min(namedAt, now);
        node.toldAt = Math.min(node.toldAt, now);
        const isCounted = now >= namedAt + GRACE_MILLISECONDS &&
          now >= node.toldAt + NOTICE_MILLISECONDS;
        if (isCounted) counted.push(now);
        if (now >= GRACE_MILLISECONDS) sent += 1;
      }
      if (node.waiting > 0) limits.recordNeed(["e1"], node.waiting);
      // Waiting calls are rejected after a while; waiting samples stay.
      if (node.waiting > 48) node.waiting = 48;
    }
    await clock.advance(TICK_MILLISECONDS);
  }
  return { busiest: findBusiest(counted), sent };
}

function findBusiest(times: ReadonlyArray<number>): number {
  let busiest = 0;
  let first = 0;
  for (let last = 0; last < times.length; last += 1) {
    while ((times[last] ?? 0) - (times[first] ?? 0) >= WINDOW_MILLISECONDS) {
      first += 1;
    }
    busiest = Math.max(busiest, last - first + 1);
  }
  return busiest;
}

function toAllowed(requestsPerSecond: number): number {
  return 1.5 * requestsPerSecond * WINDOW_MILLISECONDS / 1000 + 5;
}

const SCENARIOS = fc.record<Scenario>({
  pattern: fc.constantFrom(...Object.keys(PATTERNS)),
  nodes: fc.constantFrom(1, 2, 3, 5, 10, 20, 40),
  requestsPerSecond: fc.constantFrom(0, 0.3, 1, 1.9, 3.4, 8, 20),
  heartbeatMilliseconds: fc.constantFrom(150, 300, 600),
  outageAt: fc.constantFrom(2000, 5000, 10_000, Infinity),
  seed: fc.integer({ min: 1, max: 1_000_000 }),
});

// LIMIT_RUNS sets the number of scenarios.
test("nodes that hear of each other late do not exceed a server's limit together", async (t) => {
  await fc.assert(
    fc.asyncProperty(SCENARIOS, async (scenario) => {
      const { busiest } = await play(scenario);
      const allowed = toAllowed(scenario.requestsPerSecond);
      if (busiest > allowed) throw new Error(`${busiest} of ${allowed}`);
    }),
    { numRuns: Number(process.env["LIMIT_RUNS"] ?? 60), seed: 23 },
  );
  t.pass();
});

for (
  const [pattern, nodes] of [
    ["calls at all nodes", 10],
    ["steps of two nodes", 10],
    ["steps of two nodes beside a few calls at all", 10],
    ["steps that move to another node", 10],
    ["steps of all nodes at once", 5],
  ] as const
) {
  test(`a limit is used by ${pattern} (${nodes} nodes)`, async (t) => {
    const requestsPerSecond = 3.4;
    const { sent } = await play({
      pattern,
      nodes,
      requestsPerSecond,
      heartbeatMilliseconds: 300,
      outageAt: Infinity,
      seed: 1,
    });
    t.log(`${sent} requests were sent`);
    const seconds = (DURATION_MILLISECONDS - GRACE_MILLISECONDS) / 1000;
    const most = requestsPerSecond * seconds;
    t.true(sent >= 0.6 * most, `${sent} of ${most} requests were sent`);
  });
}
