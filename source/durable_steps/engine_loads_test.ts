import test from "ava";
import { RecordingEventLog } from "../observability/event_log.ts";
import { NO_METRICS } from "../observability/metrics.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { EngineLoads, type LoadingEngine } from "./engine_loads.ts";
import { EngineUseReport } from "./engine_use_report.ts";
import type { EngineRequest } from "./engine_request.ts";

const LOAD = { engine: "e1", model: "m", version: 2, ageMilliseconds: 0 };
const ENGINE: LoadingEngine = {
  shareOfService: 0.1,
  isFinishingRuns: false,
  runningElsewhere: 0,
};

function createRequest(model = "m"): EngineRequest {
  return {
    requirements: {
      service: "s",
      model,
      minimumVersion: 1,
      exactVersion: undefined,
      softwareVersion: undefined,
    },
    urgency: {
      dueAt: 7500,
      expectedMilliseconds: 1000,
      group: "g",
      trainer: model,
      isSpare: false,
    },
    expectedEvents: 20,
    expectedTokens: 1000,
    prompt: "",
    promptTokens: 0,
    avoidedEngine: undefined,
  };
}

function createLoads(): {
  readonly clock: ManualClock;
  readonly loads: EngineLoads;
  readonly known: Map<string, number>;
  readonly log: RecordingEventLog;
  /** Names of the metrics that were recorded. */
  readonly counted: string[];
} {
  const clock = new ManualClock();
  const known = new Map<string, number>();
  const log = new RecordingEventLog();
  const counted: string[] = [];
  const loads = new EngineLoads({
    clock,
    getKnownVersion: (engine) => known.get(engine) ?? 1,
    report: new EngineUseReport({
      log,
      metrics: {
        ...NO_METRICS,
        histogram: (name) => {
          counted.push(name);
        },
      },
    }),
  });
  return { clock, loads, known, log, counted };
}

test("a load keeps samples of its model away, and those of no other model", async (t) => {
  const { clock, loads } = createLoads();
  loads.expect(LOAD, ENGINE);
  await clock.advance(500);
  t.is(loads.decide("e1", "m").kind, "wait");
  t.is(loads.decide("e1", "other").kind, "open");
  t.is(loads.decide("e2", "m").kind, "open");
});

test("a load ends when a run reports its version, and its duration is learned", async (t) => {
  const { clock, loads } = createLoads();
  for (let load = 0; load < 30; load += 1) {
    const engine = `e${load}`;
    loads.expect({ ...LOAD, engine }, ENGINE);
    await clock.advance(500);
    if (load === 0) t.is(loads.decide(engine, "m").kind, "wait");
    loads.recordVersion(engine, "m", 2);
    t.is(loads.decide(engine, "m").kind, "open");
    await clock.advance(5000);
  }
  loads.expect({ ...LOAD, engine: "last" }, ENGINE);
  await clock.advance(510);
  t.is(loads.decide("last", "m").kind, "probe");
});

test("an engine that runs a probe on its old version is used, since the order may be lost", async (t) => {
  const { clock, loads } = createLoads();
  loads.expect(LOAD, ENGINE);
  await clock.advance(900);
  const request = createRequest();
  t.is(loads.decide("e1", "m").kind, "probe");
  loads.recordRequest("e1", request);
  t.is(loads.decide("e1", "m").kind, "wait");
  loads.recordRun("e1", "m");
  t.is(loads.decide("e1", "m").kind, "open");
  t.false(loads.recordRefusal("e1", "m"));
});

test("a cancelled probe is followed by another one", async (t) => {
  const { clock, loads } = createLoads();
  loads.expect(LOAD, ENGINE);
  await clock.advance(900);
  const request = createRequest();
  loads.recordRequest("e1", request);
  loads.recordEnd("e1", request);
  t.is(loads.decide("e1", "m").kind, "probe");
});

test("an engine that finishes its runs first is expected to load from their end on", async (t) => {
  const { clock, loads } = createLoads();
  const request = createRequest();
  const other = createRequest("other");
  loads.recordRequest("e1", request);
  loads.recordRequest("e1", other);
  loads.expect(LOAD, { ...ENGINE, isFinishingRuns: true });
  await clock.advance(1500);
  t.is(loads.decide("e1", "m").kind, "wait");
  loads.recordEnd("e1", request);
  await clock.advance(890);
  t.is(loads.decide("e1", "m").kind, "wait");
  await clock.advance(10);
  t.is(loads.decide("e1", "m").kind, "probe");
});

test("an engine that finishes other nodes' runs first is expected to load from their end on", async (t) => {
  const { clock, loads } = createLoads();
  loads.expect(LOAD, {
    ...ENGINE,
    isFinishingRuns: true,
    runningElsewhere: 3,
  });
  await clock.advance(800);
  loads.setRunningElsewhere(new Map([["e1", 1]]));
  await clock.advance(800);
  t.is(loads.decide("e1", "m").kind, "wait");
  // More runs show that the engine accepts requests, so they postpone nothing.
  loads.setRunningElsewhere(new Map([["e1", 5]]));
  await clock.advance(100);
  t.is(loads.decide("e1", "m").kind, "probe");
});

test("an order that is sent again is another load, and its repetition in heartbeats is not", async (t) => {
  const { clock, loads } = createLoads();
  t.true(loads.expect(LOAD, ENGINE));
  await clock.advance(2000);
  t.false(loads.expect({ ...LOAD, ageMilliseconds: 2000 }, ENGINE));
  t.false(loads.expect({ ...LOAD, ageMilliseconds: undefined }, ENGINE));
  await clock.advance(2000);
  t.true(loads.expect({ ...LOAD, ageMilliseconds: 300 }, ENGINE));
  t.is(loads.decide("e1", "m").kind, "wait");
});

test("an engine whose order was lost is used after 4 s at the latest", async (t) => {
  const { clock, loads } = createLoads();
  loads.recordRequest("e1", createRequest());
  loads.expect(LOAD, { ...ENGINE, isFinishingRuns: true });
  await clock.advance(4000);
  t.is(loads.decide("e1", "m").kind, "open");
  t.is(loads.getExpectedVersion("e1", "m"), 0);
});

// Guards against durations that grow with the time in which nothing was sent to the engine.
test("a load whose end is seen late does not make the next loads longer", async (t) => {
  const { clock, loads, known } = createLoads();
  for (let load = 0; load < 20; load += 1) {
    const engine = `e${load}`;
    loads.expect({ ...LOAD, engine }, ENGINE);
    await clock.advance(3500);
    if (load % 2 === 0) known.set(engine, 2);
    else loads.recordRequest(engine, createRequest());
    loads.recordRun(engine, "m");
    loads.recordVersion(engine, "m", 2);
  }
  loads.expect({ ...LOAD, engine: "last" }, ENGINE);
  await clock.advance(900);
  t.is(loads.decide("last", "m").kind, "probe");
});

test("the end of a load is reported, and an order that shows no effect", async (t) => {
  const { clock, loads, log, counted } = createLoads();
  loads.expect(LOAD, ENGINE);
  loads.expect({ ...LOAD, engine: "e2" }, ENGINE);
  await clock.advance(950);
  loads.recordVersion("e1", "m", 2);
  loads.recordRequest("e2", createRequest());
  loads.recordRun("e2", "m");
  loads.recordVersion("e2", "m", 1);
  loads.recordVersion("e2", "m", 1);
  t.deepEqual(log.events.map(({ name, fields }) => [name, fields]), [
    ["weightLoadSeen", {
      server: "e1",
      model: "m",
      version: 2,
      milliseconds: 950,
      refusals: 0,
    }],
    ["weightLoadMissing", {
      server: "e2",
      model: "m",
      version: 2,
      milliseconds: 950,
    }],
  ]);
  t.deepEqual(counted, ["weight_load_milliseconds"]);
});
