import test from "ava";
import fc from "fast-check";
import { ManualClock } from "../utilities/manual_clock.ts";
import { LoadConcurrencyController } from "./load_concurrency_controller.ts";
import {
  countTrainersBeyondBound,
  findWantedGoal,
  planLoads,
  type RolloutEngine,
  type RolloutGoal,
} from "./weight_rollout_planner.ts";

function toGoal(trainer: string, version: number, bound: number): RolloutGoal {
  return {
    trainer,
    version,
    location: `weights/${version}`,
    boundVersions: bound,
  };
}

function toEngine(
  position: number,
  parts: Partial<RolloutEngine> = {},
): RolloutEngine {
  return {
    address: `engine-${position}`,
    failureDomain: `domain-${position % 3}`,
    version: 1,
    isLoading: false,
    isReady: true,
    running: 0,
    ...parts,
  };
}

const SIX = Array.from({ length: 6 }, (_, position) => toEngine(position));

test("the planner respects the concurrency limit and the minimum of serving engines", (t) => {
  const fresh = [toGoal("dots", 2, 1)];
  const strict = [toGoal("dots", 2, 0)];
  const shared = [toGoal("dots", 9, 0), toGoal("maths", 4, 0)];
  t.snapshot({
    "two at once": planLoads(SIX, fresh, {
      concurrency: 2,
      minimumServing: 0,
    }),
    "four must serve": planLoads(SIX, fresh, {
      concurrency: 5,
      minimumServing: 4,
    }),
    "engines beyond every bound cost no serving capacity": planLoads(
      SIX,
      strict,
      {
        concurrency: 5,
        minimumServing: 4,
      },
    ),
    "one load is always allowed": planLoads(SIX, fresh, {
      concurrency: 5,
      minimumServing: 6,
    }),
    "none while one loads at the minimum": planLoads(
      [toEngine(0, { isLoading: true }), ...SIX.slice(1)],
      fresh,
      { concurrency: 5, minimumServing: 5 },
    ),
    "engines beyond the most bounds first": planLoads(
      [toEngine(0, { version: 8 }), toEngine(1, { version: 3 })],
      shared,
      { concurrency: 1, minimumServing: 0 },
    ),
    "engines in backoff are skipped": planLoads(
      [toEngine(0, { isReady: false }), toEngine(1)],
      fresh,
      { concurrency: 2, minimumServing: 0 },
    ),
    "least busy first": planLoads(
      [toEngine(0, { running: 4 }), toEngine(3, { running: 1 })],
      fresh,
      { concurrency: 1, minimumServing: 0 },
    ),
    "nothing to do": planLoads(
      SIX.map((engine) => ({ ...engine, version: 2 })),
      fresh,
      { concurrency: 3, minimumServing: 0 },
    ),
  });
});

test("a plan never violates its limits", (t) => {
  const engine = fc.record({
    version: fc.nat(4),
    isLoading: fc.boolean(),
    isReady: fc.boolean(),
    running: fc.nat(8),
  });
  const goal = fc.tuple(fc.nat(4), fc.nat(3));
  fc.assert(
    fc.property(
      fc.array(engine, { maxLength: 12 }),
      fc.array(goal, { minLength: 1, maxLength: 3 }),
      fc.integer({ min: 1, max: 6 }),
      fc.nat(12),
      (parts, bounds, concurrency, minimumServing) => {
        const engines = parts.map((each, at) => toEngine(at, each));
        const goals = bounds.map(([version, bound], at) =>
          toGoal(`trainer-${at}`, version, bound)
        );
        const limits = { concurrency, minimumServing };
        const chosen = planLoads(engines, goals, limits);
        const loading = engines.filter((each) => each.isLoading).length;
        const wanted = findWantedGoal(goals)?.version ?? 0;
        const taken = engines.filter((each) => chosen.includes(each.address));
        const serves = (each: RolloutEngine): boolean =>
          countTrainersBeyondBound(each.version, goals) < goals.length;
        const costly = taken.filter(serves).length;
        const serving = engines
          .filter((each) => !each.isLoading && serves(each)).length - costly;
        t.is(new Set(chosen).size, chosen.length);
        t.true(taken.every((each) => each.isReady && !each.isLoading));
        t.true(taken.every((each) => each.version < wanted));
        t.true(chosen.length === 0 || loading + chosen.length <= concurrency);
        const isOnlyOne = loading === 0 && costly === 1;
        t.true(costly === 0 || serving >= minimumServing || isOnlyOne);
      },
    ),
    { seed: 37, numRuns: 500 },
  );
});

test("the concurrency controller finds the number of loads that the weight store can sustain", async (t) => {
  const learned: Record<string, number> = {};
  for (const storeLoadsPerSecond of [1, 4, 100]) {
    const clock = new ManualClock();
    const controller = new LoadConcurrencyController(clock);
    controller.startMeasurement();
    for (let load = 0; load < 600; load += 1) {
      // Each engine loads at most one version a second.
      const rate = Math.min(storeLoadsPerSecond, controller.concurrency);
      await clock.advance(1000 / rate);
      controller.recordSuccess();
    }
    learned[`${storeLoadsPerSecond} a second`] = controller.concurrency;
  }
  t.snapshot(learned);
});
