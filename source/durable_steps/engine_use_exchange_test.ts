import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { ServerCallStatistics } from "../calls/server_call_statistics.ts";
import { createRendezvous } from "../membership/rendezvous.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { ServerLimits } from "../installation/server_limits.ts";
import { ServerView } from "../installation/server_view.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import type { EngineUseRecord } from "../installation/node_record.ts";
import { type NodeUse, SlotSharing } from "../installation/slot_sharing.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { EngineUseExchange } from "./engine_use_exchange.ts";
import { EnginePool } from "./engine_pool.ts";
import type { EngineRequest } from "./engine_request.ts";

const SLOTS = 2;

const REQUEST: EngineRequest = {
  requirements: {
    service: "s",
    model: "m",
    minimumVersion: 1,
    exactVersion: undefined,
    softwareVersion: undefined,
  },
  urgency: {
    dueAt: Infinity,
    expectedMilliseconds: 1000,
    group: "s/g",
    trainer: "m",
    isSpare: false,
  },
  expectedEvents: 20,
  expectedTokens: 1000,
  prompt: "p",
  promptTokens: 100,
  avoidedEngine: undefined,
};

function toUses(
  ...records: ReadonlyArray<EngineUseRecord>
): ReadonlyArray<NodeUse> {
  return records.map((engineUse, index) => ({
    node: `n${index + 2}`,
    engineUse,
  }));
}

interface Users {
  readonly pool: EnginePool;
  readonly statistics: ServerCallStatistics;
}

async function createUsers(sharing?: SlotSharing): Promise<Users> {
  const table = new MemoryDurableTable();
  const stopping = new AbortController();
  const clock = new SystemClock();
  const view = new ServerView({
    clock,
    table,
    log: new RecordingEventLog(),
    tableName: "servers",
    readRow: (key) => createServerEntry(key, { slots: SLOTS }),
    drainMilliseconds: 200,
    stopping: stopping.signal,
  });
  const pool = new EnginePool(clock, {
    servers: view,
    limits: new ServerLimits({
      node: "n1",
      clock,
      log: new RecordingEventLog(),
    }),
    ...(sharing === undefined ? {} : { sharing }),
    isConnected: () => true,
    findMemoryTokens: () => 0,
  });
  await table.commit({
    conditions: [],
    puts: ["e1", "e2"].map((key) => ({
      table: "servers",
      partition: "",
      key,
      value: Buffer.alloc(0),
    })),
  });
  void view.run();
  await clock.sleep(30);
  stopping.abort();
  const statistics = new ServerCallStatistics({
    clock,
    random: createRandomSource(1),
    failureDomain: "a",
    limits: new ServerLimits({
      node: "n1",
      clock,
      log: new RecordingEventLog(),
    }),
    isConnected: () => false,
  });
  return { pool, statistics };
}

async function acquire(
  pool: EnginePool,
  requirements: Partial<EngineRequest["requirements"]> = {},
): Promise<string | undefined> {
  return await acquireFor(pool, toRequest(requirements));
}

function toRequest(
  requirements: Partial<EngineRequest["requirements"]>,
): EngineRequest {
  return {
    ...REQUEST,
    requirements: { ...REQUEST.requirements, ...requirements },
  };
}

async function acquireFor(
  pool: EnginePool,
  request: EngineRequest,
): Promise<string | undefined> {
  const limit = new AbortController();
  const timer = setTimeout(() => limit.abort(), 50);
  const engine = await pool.acquire(request, limit.signal);
  clearTimeout(timer);
  return engine?.identifier;
}

test("slots that other nodes use are not assigned", async (t) => {
  const users = await createUsers();
  const { pool } = users;
  const board = new EngineUseExchange(new SystemClock(), users);
  board.apply(toUses({ running: { e1: SLOTS }, loads: [] }));
  t.is(await acquire(pool), "e2");
  t.is(await acquire(pool), "e2");
  t.deepEqual(board.toRecord(), { running: { e2: 2 }, loads: [] });
});

test("an engine that another node ordered to load a version is assigned for that version once the load should be over", async (t) => {
  const users = await createUsers();
  const { pool } = users;
  const board = new EngineUseExchange(new SystemClock(), users);
  t.is(await acquire(pool, { minimumVersion: 2 }), undefined);
  board.apply(toUses({ running: {}, loads: [["e2", "m", 2, 300]] }));
  t.is(await acquire(pool, { minimumVersion: 2 }), undefined);
  await new SystemClock().sleep(600);
  t.is(await acquire(pool, { minimumVersion: 2 }), "e2");
  t.is(await acquire(pool, { minimumVersion: 2 }), undefined);
});

test("an engine that loads weights gets no sample that may run on its present version", async (t) => {
  const users = await createUsers();
  const { pool } = users;
  const board = new EngineUseExchange(new SystemClock(), users);
  board.apply(toUses({ running: {}, loads: [["e1", "m", 2, 0]] }));
  for (let slot = 0; slot < SLOTS; slot += 1) {
    t.is(await acquire(pool), "e2");
  }
  t.is(await acquire(pool), undefined);
});

test("an engine that loads another model's weights gets samples", async (t) => {
  const users = await createUsers();
  const { pool } = users;
  const board = new EngineUseExchange(new SystemClock(), users);
  board.apply(toUses({
    running: { e2: SLOTS },
    loads: [["e1", "other", 2, 0]],
  }));
  t.is(await acquire(pool), "e1");
});

test("a node publishes the age of a load that it ordered", async (t) => {
  const board = new EngineUseExchange(
    new SystemClock(),
    await createUsers(),
  );
  board.recordLoad({ engine: "e1", model: "m", version: 2 });
  await new SystemClock().sleep(100);
  const [load] = board.toRecord()?.loads ?? [];
  t.deepEqual(load?.slice(0, 3), ["e1", "m", 2]);
  t.true((load?.[3] ?? 0) >= 99);
});

test("after a refusal an engine gets one request at a time until it runs one", async (t) => {
  const users = await createUsers();
  const { pool } = users;
  const only = { minimumVersion: 2 };
  new EngineUseExchange(new SystemClock(), users).apply(toUses(
    { running: {}, loads: [["e1", "m", 2, 1000]] },
  ));
  const refused = toRequest(only);
  t.is(await acquireFor(pool, refused), "e1");
  pool.recordResponse("e1");
  pool.recordBusy("e1", "m");
  pool.release("e1", refused);
  await new SystemClock().sleep(100);
  t.is(await acquire(pool, only), "e1");
  t.is(await acquire(pool, only), undefined);
  pool.recordResponse("e1");
  pool.recordStart("e1", "m");
  t.is(await acquire(pool, only), "e1");
});

test("a node without running samples and loads publishes no engine use", async (t) => {
  const board = new EngineUseExchange(
    new SystemClock(),
    await createUsers(),
  );
  t.is(board.toRecord(), undefined);
});

test("calls of other nodes count at the servers that run them", async (t) => {
  const users = await createUsers();
  const exchange = new EngineUseExchange(new SystemClock(), users);
  users.statistics.recordStart("p1");
  exchange.apply(toUses(
    { running: { p1: 2 }, loads: [] },
    { running: { p1: 1, p2: 1 }, loads: [] },
  ));
  t.is(users.statistics.occupied("p1"), 4);
  t.is(users.statistics.occupied("p2"), 1);
  t.deepEqual(exchange.toRecord(), { running: { p1: 1 }, loads: [] });
});

test("a node that shares engines with others leaves them their slots, but waits for no share while engines are free", async (t) => {
  const clock = new SystemClock();
  const findService = (): string => "s";
  const rendezvous = await createRendezvous();
  const started: number[] = [];
  for (const node of ["n1", "n2"]) {
    const sharing = new SlotSharing({ node, clock, rendezvous, findService });
    const users = { ...await createUsers(sharing), sharing };
    const exchange = new EngineUseExchange(clock, users);
    const other = node === "n1" ? "n2" : "n1";
    exchange.apply([
      { node: other, engineUse: { running: { e9: 1 }, loads: [] } },
    ]);
    let own = 0;
    for (const engine of ["e1", "e2"]) {
      const slots = { identifier: engine, service: "s", slots: SLOTS };
      let running = 0;
      while (sharing.isWithinShare(slots, { running, elsewhere: 0 })) {
        running += 1;
      }
      own += running;
    }
    started.push(own);
    for (let slot = 0; slot < 2 * SLOTS; slot += 1) {
      t.not(await acquire(users.pool), undefined);
    }
  }
  t.is(started.reduce((sum, each) => sum + each, 0), 2 * SLOTS);
});
