import test from "ava";
import fc from "fast-check";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import { ServerLimits } from "../installation/server_limits.ts";
import { ServerView } from "../installation/server_view.ts";
import { SlotSharing } from "../installation/slot_sharing.ts";
import { createRendezvous, type Rendezvous } from "../membership/rendezvous.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { EnginePool } from "./engine_pool.ts";
import type { EngineRequest } from "./engine_request.ts";

const SEED = 17;
const RUNS = 150;
/** Longer than samples wait for a share of a slot before they use any that may be free. */
const SETTLE_MILLISECONDS = 2000;

/** What happens at a node while samples of two steps of one model wait. */
type Action =
  | { readonly kind: "ask"; readonly minimumVersion: number }
  | { readonly kind: "release" }
  | { readonly kind: "others"; readonly running: ReadonlyArray<number> }
  | { readonly kind: "load"; readonly engine: number; readonly version: number }
  | { readonly kind: "pass"; readonly milliseconds: number };

const ACTION: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("ask" as const),
      minimumVersion: fc.integer({ min: 1, max: 2 }),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant("release" as const) }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("others" as const),
      running: fc.array(fc.integer({ min: 0, max: 4 }), {
        minLength: 3,
        maxLength: 3,
      }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("load" as const),
      engine: fc.integer({ min: 0, max: 2 }),
      version: fc.integer({ min: 1, max: 2 }),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("pass" as const),
      milliseconds: fc.integer({ min: 1, max: 80 }),
    }),
  },
);

const SCENE = fc.record({
  otherNodes: fc.integer({ min: 1, max: 3 }),
  slots: fc.integer({ min: 1, max: 4 }),
  actions: fc.array(ACTION, { minLength: 20, maxLength: 120 }),
});

function createRequest(
  index: number,
  minimumVersion: number,
): EngineRequest {
  return {
    requirements: {
      service: "s",
      model: "m",
      minimumVersion,
      exactVersion: undefined,
      softwareVersion: undefined,
    },
    urgency: {
      // The step that excludes old weights is due first, though its samples may come later.
      dueAt: minimumVersion > 1 ? 5000 : 9000,
      expectedMilliseconds: 1000,
      group: `g${index}`,
      trainer: "m",
      isSpare: false,
    },
    expectedEvents: 20,
    expectedTokens: 100,
    prompt: "",
    promptTokens: 0,
    avoidedEngine: undefined,
  };
}

// Returns the number of samples that neither run nor wait nor were served.
async function countLost(
  { otherNodes, slots, actions }: {
    readonly otherNodes: number;
    readonly slots: number;
    readonly actions: ReadonlyArray<Action>;
  },
  rendezvous: Rendezvous,
): Promise<number> {
  const clock = new ManualClock();
  const log = new RecordingEventLog();
  const table = new MemoryDurableTable();
  const stopping = new AbortController();
  const engines = ["e0", "e1", "e2"];
  const view = new ServerView({
    clock,
    log,
    table,
    tableName: "servers",
    readRow: (key) =>
      createServerEntry(key, { slots, weightVersions: new Map([["m", 1]]) }),
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
  const sharing = new SlotSharing({
    node: "n0",
    clock,
    rendezvous,
    findService: () => "s",
  });
  sharing.apply(
    Array.from({ length: otherNodes }, (_none, index) => ({
      node: `n${index + 1}`,
      engineUse: { running: { e0: 1, e1: 1, e2: 1 }, loads: [] },
    })),
  );
  const pool = new EnginePool(clock, {
    servers: view,
    limits: new ServerLimits({ node: "n0", clock, log }),
    sharing,
    isConnected: () => true,
    findMemoryTokens: () => 0,
  });
  const running: { engine: BackendServerEntry; request: EngineRequest }[] = [];
  let asked = 0;
  let served = 0;
  const release = (): void => {
    const first = running.shift();
    if (first === undefined) return;
    served += 1;
    pool.release(first.engine.identifier, first.request);
  };
  const act: Readonly<Record<Action["kind"], (action: never) => unknown>> = {
    ask: ({ minimumVersion }: Extract<Action, { kind: "ask" }>) => {
      const request = createRequest(asked, minimumVersion);
      asked += 1;
      void pool.acquire(request, new AbortController().signal).then(
        (engine) => engine && running.push({ engine, request }),
      );
    },
    release,
    others: (action: Extract<Action, { kind: "others" }>) =>
      pool.setRunningElsewhere(
        new Map(engines.map((key, index) => [key, action.running[index] ?? 0])),
      ),
    load: ({ engine, version }: Extract<Action, { kind: "load" }>) =>
      pool.recordVersion(engines[engine] ?? "", "m", version),
    pass: ({ milliseconds }: Extract<Action, { kind: "pass" }>) =>
      clock.advance(milliseconds),
  };
  for (const action of actions) {
    await act[action.kind](action as never);
    await clock.advance(0);
  }
  const lost = asked - served - running.length - pool.waiting;
  // All that wait run in the end, once engines with their weights are free.
  pool.setRunningElsewhere(new Map());
  for (const engine of engines) pool.recordVersion(engine, "m", 2);
  for (let round = 0; round <= asked; round += 1) {
    await clock.advance(SETTLE_MILLISECONDS);
    while (running.length > 0) release();
  }
  return Math.max(lost, asked - served);
}

// Guards against a sample that leaves the queue without an engine, and never runs.
test("a sample that waits for an engine waits until it gets one, whatever other samples find", async (t) => {
  const rendezvous = await createRendezvous();
  await fc.assert(
    fc.asyncProperty(SCENE, async (scene) => {
      const lost = await countLost(scene, rendezvous);
      if (lost > 0) throw new Error(`${lost} samples were lost`);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});
