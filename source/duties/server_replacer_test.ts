import test, { type ExecutionContext } from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import type { Service } from "../installation/configuration.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import { ServerView } from "../installation/server_view.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import type { ServerOrder } from "./duty_client.ts";
import type { DutyLease } from "./duty_lease.ts";
import { ServerReplacer } from "./server_replacer.ts";

const STEP_MILLISECONDS = 50;
/** Time in which missing servers are ordered again several times. */
const LONG_MILLISECONDS = 30_000;
const DUTY = { holder: "n1", fencingNumber: 1 };

interface Fixture {
  readonly view: ServerView;
  readonly orders: ReadonlyArray<string>;
  readonly remove: (key: string) => Promise<void>;
  /** Waits while servers may be ordered. */
  readonly pass: (milliseconds?: number) => Promise<void>;
  /** Lets the next orders wait until their guard is asked. */
  readonly onOrder: { run?: () => void };
}

// The first letter of a server's identifier is its failure domain.
async function start(
  t: ExecutionContext,
  keys: ReadonlyArray<string>,
  evacuated: ReadonlyArray<string> = [],
): Promise<Fixture> {
  const table = new MemoryDurableTable();
  const clock = new ManualClock();
  const log = new RecordingEventLog();
  const stopping = new AbortController();
  t.teardown(() => stopping.abort());
  const common = { clock, log, table, stopping: stopping.signal };
  const toPlace = (
    key: string,
  ): { table: string; partition: string; key: string } => ({
    table: "servers",
    partition: "",
    key,
  });
  await table.commit({
    conditions: [],
    puts: keys.map((key) => ({ ...toPlace(key), value: Buffer.alloc(0) })),
  });
  const view = new ServerView({
    ...common,
    tableName: "servers",
    readRow: (key) =>
      createServerEntry(key, { failureDomain: key.slice(0, 1) }),
    drainMilliseconds: 200,
  });
  view.setEvacuatedDomains(new Set(evacuated));
  const service = {
    name: "s",
    scaling: { minimum: 0, maximum: 10, startMilliseconds: 1000 },
  } as unknown as Service;
  const orders: string[] = [];
  const onOrder: { run?: () => void } = {};
  const replacer = new ServerReplacer({
    ...common,
    operator: {
      configuration: { services: new Map([["s", service]]) },
    } as unknown as OperatorView,
    servers: view,
    duties: {
      reportUsage: () => Promise.resolve({ kind: "accepted" }),
      orderServers: (order: ServerOrder, { guard }) => {
        onOrder.run?.();
        if (guard()) orders.push(`${order.failureDomain} ${order.servers}`);
        return Promise.resolve({ kind: "accepted" });
      },
    },
    lease: {
      getHeldDuty: () => DUTY,
      isStillHeld: () => true,
      toCheckInterval: (milliseconds: number) => milliseconds,
    } as unknown as DutyLease,
  });
  const pass = async (milliseconds = LONG_MILLISECONDS): Promise<void> => {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await clock.advance(STEP_MILLISECONDS);
    }
  };
  void view.run();
  await wait(20);
  void replacer.run();
  await pass(1000);
  return {
    view,
    orders,
    pass,
    onOrder,
    remove: async (key) => {
      const known = view.servers.size;
      await table.commit({ conditions: [], puts: [], deletes: [toPlace(key)] });
      while (view.servers.size === known) {
        await clock.advance(STEP_MILLISECONDS);
        await wait(1);
      }
    },
  };
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

test("a lost server is ordered again in its failure domain", async (t) => {
  const { orders, remove, pass } = await start(t, ["a1", "a2", "b1"]);
  await remove("a2");
  await pass(5000);
  t.deepEqual(orders, ["a 2"]);
});

test("evacuated servers are not ordered again, there or elsewhere", async (t) => {
  const { orders, view, pass } = await start(t, ["a1", "a2", "b1"]);
  view.setEvacuatedDomains(new Set(["a"]));
  await pass();
  t.deepEqual(orders, []);
});

test("a server that ends in an evacuated failure domain is ordered again only after the evacuation", async (t) => {
  const { orders, view, remove, pass } = await start(t, ["a1", "a2", "b1"]);
  view.setEvacuatedDomains(new Set(["a"]));
  await remove("a2");
  await pass();
  t.deepEqual(orders, []);
  view.setEvacuatedDomains(new Set());
  // A server that was ordered by others meanwhile may still be about to register.
  await pass(2000);
  t.deepEqual(orders, []);
  await pass(3000);
  t.deepEqual(orders, ["a 2"]);
});

test("an order whose failure domain is evacuated before it is sent is not sent", async (t) => {
  const { orders, view, remove, pass, onOrder } = await start(t, ["a1", "a2"]);
  onOrder.run = () => view.setEvacuatedDomains(new Set(["a"]));
  await remove("a2");
  await pass(5000);
  t.deepEqual(orders, []);
});

test("the servers that are evacuated when targets are first stored count for these", async (t) => {
  const { orders, view, remove, pass } = await start(t, ["a1", "a2", "b1"], [
    "a",
  ]);
  view.setEvacuatedDomains(new Set());
  await remove("a1");
  await pass(5000);
  t.deepEqual(orders, ["a 2"]);
});
