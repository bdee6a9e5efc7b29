import test from "ava";
import { type LoadableEngine, planWeightLoads } from "./plan_weight_loads.ts";

function engine(
  identifier: string,
  version: number | undefined,
  more: Partial<LoadableEngine> = {},
): LoadableEngine {
  return {
    identifier,
    version,
    loading: undefined,
    isFree: true,
    running: 0,
    ...more,
  };
}

const NAMED = { version: 3, models: 1, most: 10 };

test("engines with neither the named version nor the one before load it", (t) => {
  const engines = [
    engine("a", 2),
    engine("b", 2),
    engine("c", 1),
    engine("d", 1),
  ];
  t.deepEqual(planWeightLoads(engines, NAMED), ["c", "d"]);
});

test("loads stay within one model's share of the engines", (t) => {
  const engines = ["a", "b", "c", "d", "e", "f"].map((name) => engine(name, 1));
  t.is(planWeightLoads(engines, { ...NAMED, models: 3 }).length, 2);
});

test("an engine that loads the version counts", (t) => {
  const engines = [
    engine("a", 2),
    engine("b", 2),
    engine("c", 1, { loading: 3, isFree: false }),
    engine("d", 1),
  ];
  t.deepEqual(planWeightLoads(engines, NAMED), ["d"]);
});

test("one engine with the version before stays undisturbed", (t) => {
  const engines = [engine("a", 2), engine("b", 2)];
  t.deepEqual(planWeightLoads(engines, NAMED), ["a"]);
  const three = [engine("a", 2), engine("b", 1), engine("c", 3)];
  t.deepEqual(planWeightLoads(three, NAMED), ["b"]);
});

test("a single engine loads whatever runs there", (t) => {
  t.deepEqual(planWeightLoads([engine("a", 2)], NAMED), ["a"]);
});

test("the engine with fewest requests is taken first", (t) => {
  const engines = [
    engine("a", 1, { running: 4 }),
    engine("b", 1),
    engine("c", 2),
    engine("d", 2),
  ];
  t.deepEqual(planWeightLoads(engines, { ...NAMED, most: 1 }), ["b"]);
});

test("engines that do not serve the model are left out", (t) => {
  t.deepEqual(planWeightLoads([engine("a", undefined)], NAMED), []);
});
