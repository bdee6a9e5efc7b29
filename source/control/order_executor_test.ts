import test from "ava";
import fc from "fast-check";
import { ControlNode } from "../../stand_ins/control/control_node.ts";
import {
  createScheduleArbitrary,
  runSchedule,
  type ScheduledFault,
} from "../../stand_ins/control/fault_schedule.ts";
import { createPlatformState } from "../../stand_ins/platform/platform_state.ts";
import { invariant } from "../utilities/invariant.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { LeaseElector } from "./lease_elector.ts";
import { OrderExecutor, type OrderOutcome } from "./order_executor.ts";
import { createServerOrderSender } from "./server_order_sender.ts";

const RUNS = 60;
const SEED = 4102;
const NODES = 3;
const FAULTY_MILLISECONDS = 40_000;
const CALM_MILLISECONDS = 40_000;
const LAST_ORDER_MILLISECONDS = 65_000;
const STEP_MILLISECONDS = 50;
const ORDER_INTERVAL_MILLISECONDS = 170;
const ORDERS_FOR_A_LOAD = 4;
const LOAD_PREFIX = "load-";

interface GivenOrder {
  readonly key: string;
  readonly outcome: OrderOutcome<unknown>;
}

/** A node that gives orders while it holds the lease. */
class OrderingNode {
  readonly node: ControlNode;
  readonly lease: LeaseElector;
  readonly executor: OrderExecutor;
  readonly given: GivenOrder[] = [];

  readonly #trueClock: ManualClock;

  constructor(node: ControlNode, trueClock: ManualClock) {
    this.node = node;
    this.#trueClock = trueClock;
    const { context } = node;
    this.lease = new LeaseElector({ context, name: "orders/dot-models" });
    const resend = createServerOrderSender(context.platform.orders);
    this.executor = new OrderExecutor({ context, lease: this.lease, resend });
  }

  async run(): Promise<void> {
    void this.lease.run();
    void this.executor.run();
    for (let number = 0;; number++) {
      await this.node.clock.sleep(ORDER_INTERVAL_MILLISECONDS);
      if (this.lease.getHeldLease() === undefined) continue;
      if (this.#trueClock.monotonic() > LAST_ORDER_MILLISECONDS) return;
      for (const { idempotencyKey } of this.executor.completed().slice(0, 2)) {
        void this.executor.release(idempotencyKey);
      }
      void this.#performStart(`${this.node.name}-${number}`);
      if (number % ORDERS_FOR_A_LOAD === 0) void this.#loadNewest();
    }
  }

  /** Orders one engine to load the currently newest version. */
  async #loadNewest(): Promise<void> {
    const { context } = this.node;
    const weightVersion = Math.floor(this.#trueClock.monotonic() / 1000);
    await this.executor.perform({
      idempotencyKey: `${LOAD_PREFIX}${weightVersion}`,
      operation: "loadVersion",
      service: "dot-models",
      server: "engine-1",
      weightVersion,
    }, createServerOrderSender(context.platform.orders));
  }

  async #performStart(key: string): Promise<void> {
    const { context } = this.node;
    const outcome = await this.executor.perform({
      idempotencyKey: key,
      operation: "start",
      service: "dot-models",
      failureDomain: "cluj-a",
      tier: "cheap",
    }, createServerOrderSender(context.platform.orders));
    this.given.push({ key, outcome });
  }
}

interface RunResult {
  readonly nodes: ReadonlyArray<OrderingNode>;
  readonly fencingNumbers: ReadonlyArray<number>;
  /** Weight versions in the order in which the engine received them. */
  readonly loadedVersions: ReadonlyArray<number>;
  readonly receivedKeys: ReadonlySet<string>;
  readonly openIntents: number;
  readonly mostHoldersAtOnce: number;
}

async function runNodes(
  schedule: ReadonlyArray<ScheduledFault>,
  seed: number,
): Promise<RunResult> {
  const clock = new ManualClock();
  const state = createPlatformState({ clock, checksFencing: false });
  const nodes = Array.from({ length: NODES }, (_, index) =>
    new OrderingNode(
      new ControlNode({
        name: `node-${index}`,
        clock,
        state,
        seed: seed + index,
      }),
      clock,
    ));
  for (const node of nodes) void node.run();
  void runSchedule(schedule, nodes.map(({ node }) => node), { clock, seed });
  let mostHoldersAtOnce = 0;
  const end = FAULTY_MILLISECONDS + CALM_MILLISECONDS;
  while (clock.monotonic() < end) {
    await clock.advance(STEP_MILLISECONDS);
    const holders = nodes.filter(({ node, lease }) =>
      // A node cannot detect a suspension that neither clock shows.
      !node.clock.hasHiddenStop && !node.clock.isStopped &&
      lease.getHeldLease() !== undefined
    ).length;
    mostHoldersAtOnce = Math.max(mostHoldersAtOnce, holders);
  }
  for (const { node } of nodes) node.terminate();
  const received = state.orders.received();
  return {
    nodes,
    fencingNumbers: received.map(({ order }) => order.fencingNumber),
    loadedVersions: received.map(({ order }) => order.idempotencyKey)
      .filter((key) => key.startsWith(LOAD_PREFIX))
      .map((key) => Number(key.slice(LOAD_PREFIX.length))),
    receivedKeys: new Set(received.map(({ order }) => order.idempotencyKey)),
    openIntents: state.table.list("intents", { prefix: "" })
      .filter(({ value }) => value.includes("INTENT_STATE_OPEN")).length,
    mostHoldersAtOnce,
  };
}

test("a receiver without fencing checks gets orders from one lease holder at a time", async (t) => {
  let orders = 0;
  let takeOvers = 0;
  let loads = 0;
  let unknown = 0;
  await fc.assert(
    fc.asyncProperty(
      createScheduleArbitrary(NODES, FAULTY_MILLISECONDS),
      fc.nat(1_000_000),
      async (schedule, seed) => {
        const result = await runNodes(schedule, seed);
        const ascending = [...result.fencingNumbers].sort((a, b) => a - b);
        invariant(
          result.fencingNumbers.join() === ascending.join(),
          `Fencing numbers arrived as ${result.fencingNumbers}`,
        );
        const versions = [...result.loadedVersions].sort((a, b) => a - b);
        invariant(
          result.loadedVersions.join() === versions.join(),
          `Versions arrived as ${result.loadedVersions}`,
        );
        loads += versions.length;
        invariant(result.mostHoldersAtOnce <= 1, "Two holders at once");
        for (const { key, outcome } of result.nodes.flatMap((n) => n.given)) {
          const arrived = result.receivedKeys.has(key);
          const { kind } = outcome;
          invariant(kind !== "done" || arrived, `${key} did not arrive`);
          const didNotRun = kind === "notRun" || kind === "notHeld";
          invariant(!didNotRun || !arrived, `${kind} ${key} arrived`);
          unknown += kind === "unknown" ? 1 : 0;
        }
        invariant(result.openIntents === 0, `${result.openIntents} are open`);
        orders += result.fencingNumbers.length;
        takeOvers += (ascending.at(-1) ?? 1) - 1;
      },
    ),
    {
      seed: SEED,
      numRuns: RUNS,
      endOnFailure: true,
      includeErrorInReport: true,
    },
  );
  t.log(
    `${orders} orders, ${loads} loads, ${takeOvers} take-overs, ${unknown} unknown`,
  );
  t.true(takeOvers > RUNS / 2);
});
