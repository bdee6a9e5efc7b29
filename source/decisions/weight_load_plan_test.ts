import test from "ava";
import {
  type LoadableEngine,
  type LoadPlanOptions,
  type ModelDemand,
  planWeightLoads,
} from "./weight_load_plan.ts";

function createEngine(
  identifier: string,
  version: number | undefined,
  overrides: Partial<LoadableEngine> & {
    readonly loadingVersion?: number;
  } = {},
): LoadableEngine {
  const { loadingVersion, ...others } = overrides;
  return {
    identifier,
    slots: 8,
    models: new Map(
      version === undefined ? [] : [["m", { version, loadingVersion }]],
    ),
    isAvailable: true,
    runningRequests: 0,
    ...others,
  };
}

function createDemand(overrides: Partial<ModelDemand> = {}): ModelDemand {
  return {
    model: "m",
    version: 3,
    minimumVersion: 0,
    samples: 0,
    ...overrides,
  };
}

const OPTIONS: LoadPlanOptions = {
  demands: [createDemand()],
  modelCount: 1,
  maximumLoads: 10,
};

function plan(
  engines: ReadonlyArray<LoadableEngine>,
  options: LoadPlanOptions = OPTIONS,
): ReadonlyArray<string> {
  return planWeightLoads(engines, options).map(({ engine }) => engine);
}

test("engines whose version is older than the previous one load the newest version", (t) => {
  const engines = [
    createEngine("a", 2),
    createEngine("b", 2),
    createEngine("c", 1),
    createEngine("d", 1),
  ];
  t.deepEqual(plan(engines), ["c", "d"]);
});

test("a model's weights are loaded on at most its equal share of the engines", (t) => {
  const engines = ["a", "b", "c", "d", "e", "f"].map((name) =>
    createEngine(name, 1)
  );
  t.is(plan(engines, { ...OPTIONS, modelCount: 3 }).length, 2);
});

test("an engine that is already loading the newest version counts as one that has it", (t) => {
  const engines = [
    createEngine("a", 2),
    createEngine("b", 2),
    createEngine("c", 1, { loadingVersion: 3, isAvailable: false }),
    createEngine("d", 1),
  ];
  t.deepEqual(plan(engines), ["d"]);
});

test("at least one engine keeps the previous version", (t) => {
  const engines = [createEngine("a", 2), createEngine("b", 2)];
  t.deepEqual(plan(engines), ["a"]);
  const engineOfEachVersion = [
    createEngine("a", 2),
    createEngine("b", 1),
    createEngine("c", 3),
  ];
  t.deepEqual(plan(engineOfEachVersion), ["b"]);
});

test("the only engine loads the newest version although it serves the previous one", (t) => {
  t.deepEqual(plan([createEngine("a", 2)]), ["a"]);
});

test("among the outdated engines, the one with the fewest running requests is chosen first", (t) => {
  const engines = [
    createEngine("a", 1, { runningRequests: 4 }),
    createEngine("b", 1),
    createEngine("c", 2),
    createEngine("d", 2),
  ];
  t.deepEqual(plan(engines, { ...OPTIONS, maximumLoads: 1 }), ["b"]);
});

test("engines that do not serve the model are not chosen", (t) => {
  t.deepEqual(plan([createEngine("a", undefined)]), []);
});

test("an open step gets the engines that its samples fill, up to twice the usual share", (t) => {
  const engines = ["a", "b", "c", "d", "e", "f"].map((name) =>
    createEngine(name, 1)
  );
  const count = (samples: number): number => {
    const open = createDemand({ minimumVersion: 2, samples });
    return plan(engines, { ...OPTIONS, demands: [open], modelCount: 3 })
      .length;
  };
  t.deepEqual([0, 8, 24, 32, 200].map(count), [2, 2, 3, 4, 4]);
});

test("a step that has its engines causes no further loads", (t) => {
  const engines = [
    createEngine("a", 3),
    createEngine("b", 3),
    createEngine("c", 2),
    createEngine("d", 1),
  ];
  const open = createDemand({ minimumVersion: 2, samples: 24 });
  t.deepEqual(plan(engines, { ...OPTIONS, demands: [open] }), []);
});

/** Time in milliseconds until each model has as many usable engines as its step needs. */
function replay(
  order: (
    engines: ReadonlyArray<LoadableEngine>,
    demands: ReadonlyArray<ModelDemand>,
    maximumLoads: number,
  ) => ReadonlyArray<{ readonly engine: string; readonly model: string }>,
): Readonly<Record<string, number>> {
  const models = ["x", "y", "z"];
  const namedAt = new Map([["x", 0], ["y", 400], ["z", 400]]);
  const versions = new Map(
    ["a", "b", "c", "d", "e", "f"].map((engine) => [
      engine,
      new Map(models.map((model) => [model, 9])),
    ]),
  );
  const loading = new Map<string, { model: string; endsAt: number }>();
  const suppliedAt: Record<string, number> = {};
  for (let now = 0; now < 20_000; now += 100) {
    for (const [engine, { model, endsAt }] of loading) {
      if (now < endsAt) continue;
      versions.get(engine)?.set(model, 11);
      loading.delete(engine);
    }
    const demands = models.filter((model) => now >= (namedAt.get(model) ?? 0))
      .map((model) => ({
        model,
        version: 11,
        minimumVersion: 10,
        samples: 24,
      }));
    const engines = [...versions].map(([identifier, ofEngine]) => ({
      identifier,
      slots: 8,
      isAvailable: !loading.has(identifier),
      runningRequests: 0,
      models: new Map([...ofEngine].map(([model, version]) => [model, {
        version,
        loadingVersion: loading.get(identifier)?.model === model
          ? 11
          : undefined,
      }])),
    }));
    const planned = order(engines, demands, 2 - loading.size);
    for (const { engine, model } of planned) {
      loading.set(engine, { model, endsAt: now + 900 });
    }
    for (const model of models) {
      const usable = [...versions.values()].filter((ofEngine) =>
        ofEngine.get(model) === 11
      ).length;
      if (usable >= 1) suppliedAt[`${model} first`] ??= now;
      if (usable >= 3) suppliedAt[`${model} all`] ??= now;
    }
  }
  return suppliedAt;
}

test("load: three trainers that are behind name two versions each within a second", (t) => {
  const times = replay((engines, demands, maximumLoads) =>
    planWeightLoads(engines, { demands, modelCount: 3, maximumLoads })
  );
  // Each step has an engine for its longest texts after two loads, and all it needs after five.
  for (const model of ["x", "y", "z"]) {
    t.true(
      (times[`${model} first`] ?? Infinity) <= 2000,
      JSON.stringify(times),
    );
    t.true((times[`${model} all`] ?? Infinity) <= 5000, JSON.stringify(times));
  }
});
