import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { AllowedRegions } from "../decisions/allowed_regions.ts";
import type { SampleUrgency } from "../decisions/sample_queue.ts";
import { ServerLimits } from "../installation/server_limits.ts";
import { ServerView } from "../installation/server_view.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { NO_METRICS } from "../observability/metrics.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { EngineUseReport } from "./engine_use_report.ts";
import { EnginePool } from "./engine_pool.ts";
import type { EngineRequest } from "./engine_request.ts";

const SLOTS = 2;

interface Fixture {
  readonly clock: ManualClock;
  readonly pool: EnginePool;
  readonly view: ServerView;
  /** Asks for an engine, and records in `started` when the sample gets one. */
  ask(name: string, more?: RequestOptions): Promise<void>;
  /** The samples that got an engine and the engine's identifier, in order. */
  readonly started: string[];
  /** Metrics that were counted, with their tags. */
  readonly counted: string[];
}

interface RequestOptions {
  readonly urgency?: Partial<SampleUrgency>;
  readonly prompt?: string;
  readonly signal?: AbortSignal;
  readonly allowedRegions?: AllowedRegions;
}

function createRequest(
  name: string,
  { urgency = {}, prompt = "", allowedRegions }: RequestOptions,
): EngineRequest {
  return {
    requirements: {
      service: "s",
      model: "m",
      minimumVersion: 1,
      exactVersion: undefined,
      softwareVersion: undefined,
      allowedRegions,
    },
    urgency: {
      dueAt: 7500,
      expectedMilliseconds: 1000,
      group: name,
      trainer: "m",
      isSpare: false,
      ...urgency,
    },
    expectedEvents: 20,
    expectedTokens: 1000,
    prompt,
    promptTokens: 1000,
    avoidedEngine: undefined,
  };
}

async function createFixture(
  ...engines: ReadonlyArray<string>
): Promise<Fixture> {
  const table = new MemoryDurableTable();
  const clock = new ManualClock();
  const stopping = new AbortController();
  const view = new ServerView({
    clock,
    table,
    log: new RecordingEventLog(),
    tableName: "servers",
    readRow: (key) =>
      createServerEntry(key, { slots: SLOTS, failureDomain: key }),
    drainMilliseconds: 200,
    stopping: stopping.signal,
  });
  await table.commit({
    conditions: [],
    puts: engines.map((key) => ({
      table: "servers",
      partition: "",
      key,
      value: Buffer.alloc(0),
    })),
  });
  void view.run();
  await clock.advance(1);
  stopping.abort();
  const counted: string[] = [];
  const pool = new EnginePool(clock, {
    servers: view,
    limits: new ServerLimits({
      node: "n1",
      clock,
      log: new RecordingEventLog(),
    }),
    isConnected: () => true,
    findMemoryTokens: () => 0,
    report: new EngineUseReport({
      log: new RecordingEventLog(),
      metrics: {
        ...NO_METRICS,
        count: (name, tags) => {
          counted.push([name, ...Object.values(tags)].join(" "));
        },
      },
    }),
  });
  const started: string[] = [];
  return {
    clock,
    pool,
    view,
    started,
    counted,
    ask: async (name, more = {}) => {
      const signal = more.signal ?? new AbortController().signal;
      const engine = await pool.acquire(createRequest(name, more), signal);
      if (engine !== undefined) started.push(`${name} ${engine.identifier}`);
    },
  };
}

test("a freed slot goes to the sample that must start first", async (t) => {
  const { clock, pool, ask, started } = await createFixture("e1");
  void ask("one");
  void ask("two");
  await clock.advance(1);
  void ask("short");
  void ask("long", { urgency: { dueAt: 9000, expectedMilliseconds: 6000 } });
  await clock.advance(1);
  pool.release("e1", createRequest("", {}));
  await clock.advance(1);
  t.deepEqual(started, ["one e1", "two e1", "long e1"]);
});

test("samples that are added together start in the order of their urgency", async (t) => {
  const { clock, ask, started } = await createFixture("e1");
  void ask("short");
  void ask("shorter", { urgency: { expectedMilliseconds: 500 } });
  void ask("long", { urgency: { expectedMilliseconds: 6000 } });
  await clock.advance(1);
  t.deepEqual(started, ["long e1", "short e1"]);
});

test("the samples of a group run at the engine that has read their prompt", async (t) => {
  const { clock, ask, started } = await createFixture("e1", "e2", "e3");
  for (const name of ["a1", "b1", "a2", "b2"]) {
    void ask(name, { prompt: name.slice(0, 1) });
    await clock.advance(1);
  }
  const engines = new Map(
    started.map((each) => each.split(" ") as [string, string]),
  );
  t.is(engines.get("a1"), engines.get("a2"));
  t.is(engines.get("b1"), engines.get("b2"));
  t.not(engines.get("a1"), engines.get("b1"));
});

test("a cancelled sample does not use a slot", async (t) => {
  const { clock, pool, ask, started } = await createFixture("e1");
  const cancelled = new AbortController();
  void ask("one");
  void ask("two");
  await clock.advance(1);
  void ask("cancelled", { signal: cancelled.signal });
  void ask("three");
  cancelled.abort();
  await clock.advance(1);
  t.is(pool.waiting, 1);
  pool.release("e1", createRequest("", {}));
  await clock.advance(1);
  t.deepEqual(started, ["one e1", "two e1", "three e1"]);
});

test("a server that said it is leaving gets no sample", async (t) => {
  const { clock, view, ask, started } = await createFixture("e1", "e2");
  view.markLeaving({ identifier: "e1", startedAt: 0 }, {
    learnedFrom: "answer",
  });
  for (const name of ["one", "two", "three"]) void ask(name);
  await clock.advance(1);
  t.deepEqual(started, ["one e2", "two e2"]);
});

test("an engine that failed gets no sample before its backoff ends", async (t) => {
  const { clock, pool, ask, started } = await createFixture("e1");
  void ask("one");
  await clock.advance(1);
  pool.recordResponse("e1");
  pool.recordFailure("e1");
  pool.release("e1", createRequest("", {}));
  void ask("two");
  await clock.advance(400);
  t.deepEqual(started, ["one e1"]);
  await clock.advance(200);
  t.deepEqual(started, ["one e1", "two e1"]);
});

test("the runs of a silent engine are reported while another engine can go on with them", async (t) => {
  const { clock, pool, ask } = await createFixture("e1", "e2");
  void ask("one");
  void ask("two");
  await clock.advance(1);
  const stalled: string[] = [];
  for (const engine of ["e1", "e2"]) {
    pool.watchRun({
      engine,
      findRequirements: () => createRequest("", {}).requirements,
      onStalled: () => stalled.push(engine),
    });
  }
  for (let elapsed = 0; elapsed < 1000; elapsed += 40) {
    await clock.advance(40);
    pool.recordHeard("e2");
    if (elapsed < 280) t.deepEqual(stalled, []);
  }
  t.true(stalled.length > 0);
  t.true(stalled.every((engine) => engine === "e1"));
});

function allow(...names: ReadonlyArray<string>): AllowedRegions {
  return new AllowedRegions(new Set(names), (failureDomain) => failureDomain);
}

test("samples get engines of their allowed regions only, and do not hold others back", async (t) => {
  const { clock, pool, ask, started } = await createFixture("e1", "e2");
  const allowedRegions = allow("e1");
  for (const name of ["r1", "r2", "r3"]) void ask(name, { allowedRegions });
  await clock.advance(1);
  void ask("free");
  await clock.advance(1);
  t.deepEqual(started, ["r1 e1", "r2 e1", "free e2"]);
  t.is(pool.waiting, 1);
  pool.release("e2", createRequest("", {}));
  await clock.advance(1);
  t.is(pool.waiting, 1, "a slot elsewhere is of no use");
  pool.release("e1", createRequest("", {}));
  await clock.advance(1);
  t.deepEqual(started.at(-1), "r3 e1");
});

// Guards against a sample that waits for good for engines of an earlier configuration.
test("outdated waits end without an engine, and the others go on", async (t) => {
  const { clock, pool } = await createFixture("e1");
  const request = createRequest("r", { allowedRegions: allow("e9") });
  const outdated = new Set([0, 1, 2]);
  const ended: number[] = [];
  const engines = [0, 1, 2, 3].map(async (index) => {
    const isOutdated = (): boolean => outdated.has(index);
    const engine = await pool.acquire(
      { ...request, ...(index < 2 ? { isOutdated } : {}) },
      new AbortController().signal,
    );
    ended.push(index);
    return engine;
  });
  await clock.advance(1);
  t.is(pool.waiting, 4);
  outdated.delete(1);
  pool.restartOutdatedWaits();
  t.is(await engines[0], undefined);
  await clock.advance(1);
  t.deepEqual(ended, [0]);
  t.is(pool.waiting, 3);
  outdated.add(1);
  pool.restartOutdatedWaits();
  t.is(await engines[1], undefined);
  t.is(pool.waiting, 2);
});

test("only engines of allowed regions count as available and faster", async (t) => {
  const { clock, pool } = await createFixture("e1", "e2", "e3");
  for (
    const [name, milliseconds] of [["e1", 200], ["e2", 20], ["e3", 30]] as const
  ) {
    for (let index = 0; index < 8; index += 1) {
      pool.recordEvent(name, milliseconds);
    }
  }
  await clock.advance(1000);
  const toRequirements = (allowedRegions: AllowedRegions | undefined) =>
    createRequest("r", allowedRegions && { allowedRegions } || {}).requirements;
  const toText = (requirements: EngineRequest["requirements"]) => ({
    engine: "e1",
    requirements,
    remainingEvents: 60,
    tokens: 1000,
    moves: 0,
  });
  t.false(pool.shouldMove(toText(toRequirements(allow("e1")))));
  t.true(pool.shouldMove(toText(toRequirements(allow("e3")))));
  t.true(pool.hasAvailable(toRequirements(allow("e3"))));
  t.false(pool.hasAvailable(toRequirements(allow("e9"))));
});

// Guards against moves after each load, whose interruption counted as the time for an event.
test("the interruption by a load of weights does not make an engine slow", async (t) => {
  const { clock, pool, ask } = await createFixture("e1", "e2", "e3");
  void ask("one");
  await clock.advance(1);
  for (let event = 0; event < 50; event += 1) {
    await clock.advance(40);
    for (const engine of ["e1", "e2", "e3"]) pool.recordEvent(engine, 40);
  }
  pool.expectLoad({
    engine: "e1",
    model: "m",
    version: 2,
    ageMilliseconds: 0,
  });
  await clock.advance(900);
  pool.recordVersion("e1", "m", 2);
  for (let run = 0; run < 6; run += 1) pool.recordEvent("e1", 900);
  const text = {
    engine: "e1",
    requirements: createRequest("", {}).requirements,
    remainingEvents: 30,
    tokens: 1000,
    moves: 0,
  };
  t.false(pool.shouldMove(text));
  for (let event = 0; event < 20; event += 1) {
    await clock.advance(200);
    pool.recordEvent("e1", 200);
    pool.recordEvent("e2", 40);
    pool.recordEvent("e3", 40);
  }
  t.true(pool.shouldMove(text));
  t.false(pool.shouldMove(text), "one free slot is enough for one text");
  await clock.advance(50);
  t.true(pool.shouldMove(text));
  t.false(pool.shouldMove({ ...text, moves: 2 }));
});

test("refusals are counted by their likely cause, and the spread of the load is known", async (t) => {
  const { clock, pool, ask, counted } = await createFixture("e1", "e2");
  void ask("one");
  await clock.advance(1);
  t.is(pool.loadSpread, 1 / SLOTS);
  pool.recordBusy("e1", "m");
  pool.setRunningElsewhere(new Map([["e1", SLOTS]]));
  pool.recordBusy("e1", "m");
  pool.expectLoad({ engine: "e2", model: "m", version: 2 });
  pool.recordBusy("e2", "m");
  pool.recordBusy("e2", "other");
  t.deepEqual(counted, [
    "engine_requests",
    "engine_refusals other",
    "engine_refusals full",
    "engine_refusals loading",
    "engine_refusals other",
  ]);
});
