import fc from "fast-check";
import test from "ava";
import {
  playWarmUp,
  WARM_UP_PATTERNS,
  type WarmUpScenario,
} from "../../stand_ins/installation/warm_up_model.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { WarmUpLimits } from "./warm_up_limits.ts";

const USUAL: WarmUpScenario = {
  pattern: "samples wait at all nodes",
  nodes: 9,
  servers: 3,
  requestsPerSecond: 13,
  overageFactor: 1.5,
  slackRequests: 5,
  warmUpMilliseconds: 3000,
  entryMilliseconds: 350,
  heartbeatMilliseconds: 300,
  writeMilliseconds: 20,
  outage: "none",
  outageAt: 0,
  joining: 0,
  failing: 0,
  changesAtOnce: false,
  seed: 1,
};

const SCENARIOS = fc.record<WarmUpScenario>({
  pattern: fc.constantFrom(...Object.keys(WARM_UP_PATTERNS)),
  nodes: fc.constantFrom(1, 2, 3, 5, 9, 20, 40, 71, 100),
  servers: fc.constantFrom(1, 3),
  requestsPerSecond: fc.constantFrom(13, 13, 13, 0.3, 1, 4, 30),
  overageFactor: fc.constantFrom(1.5, 1.5, 1, 1.2, 2),
  slackRequests: fc.constantFrom(5, 5, 0, 1, 12),
  warmUpMilliseconds: fc.constantFrom(3000, 9000),
  entryMilliseconds: fc.constantFrom(0, 350, 700),
  heartbeatMilliseconds: fc.constantFrom(150, 300, 600, 850),
  writeMilliseconds: fc.constantFrom(20, 20, 400, 6000),
  outage: fc.constantFrom("none", "all", "half"),
  outageAt: fc.constantFrom(3000, 6000, 7000, 8500),
  joining: fc.constantFrom(0, 0, 0.2, 0.7),
  failing: fc.constantFrom(0, 0, 0.2, 0.7),
  changesAtOnce: fc.boolean(),
  seed: fc.integer({ min: 1, max: 1_000_000 }),
});

function toMaximum(
  { requestsPerSecond, overageFactor, slackRequests }: WarmUpScenario,
): number {
  return requestsPerSecond * overageFactor + slackRequests;
}

// Guards against a server that crashes because the nodes send it more than it accepts in warm-up.
// WARM_UP_RUNS and WARM_UP_SEED set the number of scenarios and the seed.
test("all nodes together keep a server in warm-up to its maximum in any second", async (t) => {
  await fc.assert(
    fc.asyncProperty(SCENARIOS, async (scenario) => {
      const { busiest } = await playWarmUp(scenario);
      const maximum = toMaximum(scenario);
      if (busiest > maximum) throw new Error(`${busiest} of ${maximum}`);
    }),
    {
      numRuns: Number(process.env["WARM_UP_RUNS"] ?? 100),
      seed: Number(process.env["WARM_UP_SEED"] ?? 41),
    },
  );
  t.pass();
});

// Guards against nodes that all believe to be alone as they have not heard of each other.
test("nodes that all start as a server returns do not exceed its maximum", async (t) => {
  const { busiest } = await playWarmUp({
    ...USUAL,
    nodes: 100,
    joining: 1,
    changesAtOnce: true,
    heartbeatMilliseconds: 600,
  });
  t.log(`${busiest} requests in the busiest second`);
  t.true(busiest <= 24.5, `${busiest} requests in 1 s`);
});

// Guards against places that differ between nodes which miss each other's late heartbeats.
test("nodes that hear few of the others before an outage do not exceed the maximum", async (t) => {
  const { busiest } = await playWarmUp({
    ...USUAL,
    pattern: "steps of all nodes at once",
    nodes: 100,
    requestsPerSecond: 4,
    overageFactor: 2,
    slackRequests: 0,
    entryMilliseconds: 0,
    heartbeatMilliseconds: 150,
    writeMilliseconds: 6000,
    outage: "all",
    outageAt: 6000,
    joining: 0.2,
    seed: 382_135,
  });
  t.true(busiest <= 8, `${busiest} requests in 1 s`);
});

// Guards against a share that is used while other nodes with an older view use it, too.
test("a node uses a share only once all nodes in contact know its demand, and not without contact", async (t) => {
  const clock = new ManualClock();
  const limits = new WarmUpLimits({
    node: "n1",
    clock,
    bounds: { warmUpOverageFactor: 1.5, warmUpSlackRequests: 5 },
    findService: () => "s",
    onMoreRoom: () => {},
  });
  const apply = (readAt: number): void =>
    limits.apply({
      own: {
        demands: limits.toDemands(),
        heartbeatMilliseconds: 300,
        readAt,
      },
      others: new Map(),
      nodes: ["n1"],
      heartbeatMilliseconds: 300,
    });
  limits.recordRequest("e1");
  limits.set("e1", { service: "s", requestsPerSecond: 13, endsAt: 60_000 });
  for (let now = 0; now < 1050; now += 150) {
    apply(clock.monotonic());
    t.is(limits.getShare("e1"), 0, `${now} ms after the first heartbeat`);
    await clock.advance(150);
  }
  await clock.advance(150);
  apply(clock.monotonic());
  t.true(limits.getShare("e1") > 10, "the demand is known");
  await clock.advance(1100);
  t.true(limits.getShare("e1") < 1, "no heartbeat was read back for 1.1 s");
  apply(clock.monotonic());
  t.true(limits.getShare("e1") < 1, "the others may have forgotten the node");
  for (let count = 0; count < 8; count += 1) {
    await clock.advance(150);
    apply(clock.monotonic());
  }
  t.true(limits.getShare("e1") > 10, "the demand is known again");
});

for (const pattern of Object.keys(WARM_UP_PATTERNS)) {
  for (const nodes of [1, 9, 71, 100]) {
    test(`rate 13, ${pattern}, ${nodes} nodes: at most 24 in any second`, async (t) => {
      const played = await playWarmUp({ ...USUAL, pattern, nodes });
      t.log(JSON.stringify(played));
      t.true(played.busiest <= 24.5, `${played.busiest} requests in 1 s`);
    });
  }
}

for (const nodes of [1, 3, 9, 71, 100]) {
  for (const warmUpMilliseconds of [3000, 9000]) {
    test(`samples that wait at ${nodes} nodes use the rate for ${warmUpMilliseconds} ms`, async (t) => {
      const { usedPerSecond, busiest } = await playWarmUp({
        ...USUAL,
        nodes,
        warmUpMilliseconds,
        heartbeatMilliseconds: nodes > 60 ? 600 : 300,
      });
      t.log(`${usedPerSecond.toFixed(1)} of 13 a second, busiest ${busiest}`);
      t.true(usedPerSecond >= 0.7 * 13, `${usedPerSecond} requests a second`);
    });
  }
}

test("after a warm-up the waiting requests do not arrive all at once", async (t) => {
  const { afterEnd } = await playWarmUp({
    ...USUAL,
    nodes: 20,
    entryMilliseconds: 0,
  });
  t.log(`${afterEnd.join(", ")} requests in the quarters of a second after it`);
  const [first = 0, , , last = 0] = afterEnd;
  t.true(first <= 13, `${first} requests in the first quarter of a second`);
  t.true(last > first, "the load rises");
});
