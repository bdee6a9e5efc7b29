import fc from "fast-check";
import test from "ava";
import {
  playWarmUp,
  WARM_UP_PATTERNS,
  type WarmUpScenario,
} from "../../stand_ins/installation/warm_up_model.ts";

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
      numRuns: Number(process.env["WARM_UP_RUNS"] ?? 60),
      seed: Number(process.env["WARM_UP_SEED"] ?? 41),
    },
  );
  t.pass();
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
