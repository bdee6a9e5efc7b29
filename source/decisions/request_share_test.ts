import fc from "fast-check";
import test from "ava";
import {
  type Claimant,
  shareRecovery,
  shareWarmUp,
  type WarmUpUse,
} from "./request_share.ts";

const USE: WarmUpUse = {
  requestsPerSecond: 13,
  maximumRequests: 24.5,
  own: { order: 0, demand: "high" },
  others: [],
  isInContact: true,
  rank: 0,
};

const CLAIMANTS = fc.uniqueArray(
  fc.record<Claimant>({
    order: fc.integer({ min: 0, max: 10_000 }),
    demand: fc.constantFrom("low", "high"),
  }),
  { maxLength: 100, selector: ({ order }) => order },
);
const BOUNDS = fc.record({
  requestsPerSecond: fc.double({ min: 0.1, max: 60, noNaN: true }),
  maximumRequests: fc.integer({ min: 1, max: 100 }),
});

// Load pattern: all servers of a failure domain come back and up to a hundred nodes have waiting requests.
test("what the nodes saved up and their rate stay within the maximum of a second", (t) => {
  fc.assert(
    fc.property(CLAIMANTS, BOUNDS, (claimants, bounds) => {
      const known = claimants.map((own) =>
        shareWarmUp({
          ...USE,
          ...bounds,
          own,
          others: claimants.filter((other) => other !== own),
        })
      );
      const unknown = claimants.map((_own, rank) =>
        shareWarmUp({ ...USE, ...bounds, own: undefined, rank })
      );
      const rate = known.reduce((sum, each) => sum + each.requestsPerSecond, 0);
      const saved = known.reduce((sum, each) => sum + each.maximumSaved, 0);
      // A node of unknown demand sends at most one request in any second.
      const others = unknown.filter(({ maximumSaved }) => maximumSaved > 0);
      const most = Math.floor(saved + 1.05 * rate) + 2 * others.length;
      return rate <= bounds.requestsPerSecond + 1e-9 &&
        others.every(({ requestsPerSecond }) => requestsPerSecond < 1) &&
        most <= bounds.maximumRequests;
    }),
    { seed: 5, numRuns: 500 },
  );
  t.pass();
});

// Load pattern: nodes whose demand has just risen are known to some of the others and not to the rest.
test("more or higher demands of other nodes never raise a share", (t) => {
  fc.assert(
    fc.property(CLAIMANTS, BOUNDS, fc.nat(), (claimants, bounds, draw) => {
      const [own, ...others] = claimants;
      if (own === undefined) return true;
      const share = shareWarmUp({ ...USE, ...bounds, own, others });
      const index = draw % (others.length + 1);
      const raised: ReadonlyArray<Claimant> = index < others.length
        ? others.map((other, place) =>
          place === index ? { ...other, demand: "high" } : other
        )
        : [...others, { order: draw, demand: "low" }];
      const after = shareWarmUp({ ...USE, ...bounds, own, others: raised });
      return after.requestsPerSecond <= share.requestsPerSecond + 1e-9 &&
        after.maximumSaved <= share.maximumSaved;
    }),
    { seed: 6, numRuns: 2000 },
  );
  t.pass();
});

test("one node with waiting requests gets almost the whole rate", (t) => {
  const { requestsPerSecond } = shareWarmUp(USE);
  t.true(requestsPerSecond > 0.9 * 13, `${requestsPerSecond}`);
});

test("a node without contact gets at most one request a second, and only if it is among the first", (t) => {
  const first = shareWarmUp({ ...USE, isInContact: false });
  t.true(first.requestsPerSecond > 0 && first.requestsPerSecond < 1);
  const last = shareWarmUp({ ...USE, isInContact: false, rank: 3 });
  t.deepEqual(last, { requestsPerSecond: 0, maximumSaved: 0 });
});

// Load pattern: the waiting requests of twenty nodes when a warm-up ends.
test("the rate rises in steps after a warm-up", (t) => {
  const rates = [0, 0.25, 0.5, 0.75].map((elapsedPart) =>
    20 *
    shareRecovery({ requestsPerSecond: 13, nodes: 20, elapsedPart })
      .requestsPerSecond
  );
  t.deepEqual(rates, [26, 52, 104, 208]);
});
