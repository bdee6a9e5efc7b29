import test from "ava";
import { type LoadableEngine, planWeightLoads } from "./plan_weight_loads.ts";

function createEngine(
  identifier: string,
  version: number | undefined,
  overrides: Partial<LoadableEngine> = {},
): LoadableEngine {
  return {
    identifier,
    version,
    loadingVersion: undefined,
    isAvailable: true,
    runningRequests: 0,
    ...overrides,
  };
}

const OPTIONS = { version: 3, modelCount: 1, maximumLoads: 10 };

test("engines whose version is older than the previous one load the newest version", (t) => {
  const engines = [
    createEngine("a", 2),
    createEngine("b", 2),
    createEngine("c", 1),
    createEngine("d", 1),
  ];
  t.deepEqual(planWeightLoads(engines, OPTIONS), ["c", "d"]);
});

test("a model's weights are loaded on at most its equal share of the engines", (t) => {
  const engines = ["a", "b", "c", "d", "e", "f"].map((name) =>
    createEngine(name, 1)
  );
  t.is(planWeightLoads(engines, { ...OPTIONS, modelCount: 3 }).length, 2);
});

test("an engine that is already loading the newest version counts as one that has it", (t) => {
  const engines = [
    createEngine("a", 2),
    createEngine("b", 2),
    createEngine("c", 1, { loadingVersion: 3, isAvailable: false }),
    createEngine("d", 1),
  ];
  t.deepEqual(planWeightLoads(engines, OPTIONS), ["d"]);
});

test("at least one engine keeps the previous version", (t) => {
  const engines = [createEngine("a", 2), createEngine("b", 2)];
  t.deepEqual(planWeightLoads(engines, OPTIONS), ["a"]);
  const engineOfEachVersion = [
    createEngine("a", 2),
    createEngine("b", 1),
    createEngine("c", 3),
  ];
  t.deepEqual(planWeightLoads(engineOfEachVersion, OPTIONS), ["b"]);
});

test("the only engine loads the newest version although it serves the previous one", (t) => {
  t.deepEqual(planWeightLoads([createEngine("a", 2)], OPTIONS), ["a"]);
});

test("among the outdated engines, the one with the fewest running requests is chosen first", (t) => {
  const engines = [
    createEngine("a", 1, { runningRequests: 4 }),
    createEngine("b", 1),
    createEngine("c", 2),
    createEngine("d", 2),
  ];
  t.deepEqual(planWeightLoads(engines, { ...OPTIONS, maximumLoads: 1 }), ["b"]);
});

test("engines that do not serve the model are not chosen", (t) => {
  t.deepEqual(planWeightLoads([createEngine("a", undefined)], OPTIONS), []);
});
