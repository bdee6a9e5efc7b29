import test, { type ExecutionContext } from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import type { ExchangeOptions } from "../backends/engine_client.ts";
import type { ServerClient } from "../backends/server_client.ts";
import type { EngineUseExchange } from "../durable_steps/engine_use_exchange.ts";
import { EnginePool } from "../durable_steps/engine_pool.ts";
import type { Configuration } from "../installation/configuration.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import { ServerLimits } from "../installation/server_limits.ts";
import { ServerView } from "../installation/server_view.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import type { DutyLease } from "./duty_lease.ts";
import { WeightLoadScheduler } from "./weight_load_scheduler.ts";

const DUTY = { holder: "n1", fencingNumber: 1 };

interface Fixture {
  readonly clock: ManualClock;
  readonly run: () => void;
  readonly view: ServerView;
  /** Requests that were sent, as "KIND SERVER", in order. */
  readonly sent: ReadonlyArray<string>;
  /** Called after the decision to send a request and before its send. */
  readonly onConnecting: { run?: (kind: string) => void };
}

// The first letter of an engine's identifier is its failure domain.
async function start(t: ExecutionContext): Promise<Fixture> {
  const clock = new ManualClock();
  const log = new RecordingEventLog();
  const table = new MemoryDurableTable();
  const stopping = new AbortController();
  t.teardown(() => stopping.abort());
  const common = { clock, log, table, stopping: stopping.signal };
  await table.commit({
    conditions: [],
    puts: ["a1", "b1"].map((key) => ({
      table: "servers",
      partition: "",
      key,
      value: Buffer.alloc(0),
    })),
  });
  const view = new ServerView({
    ...common,
    tableName: "servers",
    readRow: (key) =>
      createServerEntry(key, { failureDomain: key.slice(0, 1) }),
    drainMilliseconds: 200,
  });
  const limits = new ServerLimits({ node: "n1", clock, log });
  const pool = new EnginePool(clock, {
    servers: view,
    limits,
    isConnected: () => false,
    findMemoryTokens: () => 0,
  });
  const sent: string[] = [];
  const onConnecting: { run?: (kind: string) => void } = {};
  const send = (kind: string, server: string, options: ExchangeOptions) => {
    onConnecting.run?.(kind);
    const isSent = options.mayStart?.() !== false;
    if (isSent) sent.push(`${kind} ${server}`);
    return isSent;
  };
  const client = {
    readReport: ({ identifier }, options) =>
      Promise.resolve(
        send("report", identifier, options)
          ? {
            startedAt: undefined,
            weightVersions: new Map([["m", 1]]),
            acceptedOrders: 0,
            isBusy: false,
            waiting: 0,
            running: 0,
          }
          : undefined,
      ),
    orderWeights: ({ identifier }, _order, options) =>
      Promise.resolve(
        send("order", identifier, options)
          ? { kind: "accepted" }
          : { kind: "notRun", reason: "withheld", cause: "withheld" },
      ),
  } as Pick<ServerClient, "readReport" | "orderWeights"> as ServerClient;
  const configuration = {
    routes: [],
    services: new Map([["s", { name: "s", models: ["m"] }]]),
  } as unknown as Configuration;
  const scheduler = new WeightLoadScheduler({
    ...common,
    operator: {
      configuration,
      namedVersions: new Map([["m", 3]]),
    } as unknown as OperatorView,
    servers: view,
    limits,
    pool,
    engineUseExchange: {
      recordLoad: () => {},
    } as unknown as EngineUseExchange,
    client,
    stepRegistry: { entries: [] },
    lease: {
      getHeldDuty: () => DUTY,
      isStillHeld: () => true,
      toCheckInterval: (milliseconds: number) => milliseconds,
    } as unknown as DutyLease,
  });
  void view.run();
  await new Promise((resolve) => setTimeout(resolve, 20));
  return { clock, view, sent, onConnecting, run: () => void scheduler.run() };
}

async function pass(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 50) {
    await clock.advance(50);
  }
}

test("evacuated engines get neither reports nor orders, and load what they missed after the end", async (t) => {
  const { clock, view, sent, run } = await start(t);
  view.setEvacuatedDomains(new Set(["a"]));
  run();
  await pass(clock, 2000);
  t.true(sent.includes("order b1"));
  t.false(sent.some((request) => request.endsWith("a1")));
  // With the other engine gone, the plan needs the one that was evacuated.
  view.setEvacuatedDomains(new Set(["b"]));
  await pass(clock, 2000);
  const later = sent.filter((request) => request.endsWith("a1"));
  t.deepEqual(later.slice(0, 2), ["report a1", "order a1"]);
});

for (const kind of ["report", "order"]) {
  test(`no ${kind} is sent to an engine that is evacuated just before its send`, async (t) => {
    const { clock, view, sent, onConnecting, run } = await start(t);
    const evacuatedAt: number[] = [];
    onConnecting.run = (connecting) => {
      if (connecting !== kind) return;
      evacuatedAt.push(sent.length);
      view.setEvacuatedDomains(new Set(["a", "b"]));
    };
    run();
    await pass(clock, 2000);
    t.true(evacuatedAt.length > 0);
    t.deepEqual(sent.slice(evacuatedAt[0]), []);
  });
}
