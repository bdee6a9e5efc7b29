import test from "ava";
import {
  ControlNode,
  LEASE_MILLISECONDS,
  ORDER_DEADLINE_MILLISECONDS,
} from "../../stand_ins/control/control_node.ts";
import { FAST_RESPONSE } from "../../stand_ins/platform/local_platform.ts";
import { createPlatformState } from "../../stand_ins/platform/platform_state.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { LeaseElector } from "./lease_elector.ts";
import {
  OrderExecutor,
  type OrderRequest,
  type SendAttempt,
  type SendOrder,
  type SendOutcome,
} from "./order_executor.ts";

const TAKE_OVER_MILLISECONDS = 4 *
  (LEASE_MILLISECONDS + ORDER_DEADLINE_MILLISECONDS);

// Shorter than the interval at which orders with an unknown result are resent.
const ORDER_MILLISECONDS = LEASE_MILLISECONDS - 500;

/** Two nodes that give orders to one engine, whose failures the test controls. */
class EngineOrderSimulation {
  readonly clock = new ManualClock();
  readonly state = createPlatformState({ clock: this.clock });
  /** Orders that took effect, as fencing number and idempotency key, such as "1 load-7". */
  readonly effects: string[] = [];
  /** Outcomes of the next sends; sends succeed when empty. */
  readonly behaviours: Array<"answerLost" | "dropped" | "notRun" | "refused"> =
    [];
  readonly first = this.#createNode("node-1");
  readonly second = this.#createNode("node-2");

  readonly send: SendOrder<string> = async (sending) => {
    const behaviour = this.behaviours.shift() ?? "done";
    await this.clock.sleep(10);
    return this.#decide(behaviour, sending);
  };

  async start(): Promise<void> {
    void this.first.lease.run();
    await this.clock.advance(100);
    void this.second.lease.run();
    await this.clock.advance(100);
  }

  /** Executes an order on node-1 and advances the clock until it has ended. */
  async performOrder(version: number): Promise<string> {
    const outcome = this.first.executor.perform(loadOrder(version), this.send);
    await this.clock.advance(ORDER_MILLISECONDS);
    return (await outcome).kind;
  }

  async killFirstNode(): Promise<void> {
    this.first.node.kill();
    await this.clock.advance(TAKE_OVER_MILLISECONDS);
  }

  countOpenIntents(): number {
    return this.state.table.list("intents", { prefix: "" }).length;
  }

  #decide(fate: string, sending: SendAttempt): SendOutcome<string> {
    if (fate === "notRun") return { kind: "notRun", reason: "refused" };
    if (fate === "refused") return { kind: "refused", reason: "busy" };
    if (fate !== "dropped") {
      const { fencingNumber, idempotencyKey } = sending;
      this.effects.push(`${fencingNumber} ${idempotencyKey}`);
    }
    if (fate === "done") return { kind: "done", result: "loaded" };
    return { kind: "unknown", reason: fate };
  }

  #createNode(name: string): {
    readonly node: ControlNode;
    readonly lease: LeaseElector;
    readonly executor: OrderExecutor;
  } {
    const node = new ControlNode({
      name,
      clock: this.clock,
      state: this.state,
    });
    const { context } = node;
    const lease = new LeaseElector({ context, name: "weights/dot-models" });
    const resend: SendOrder<string> = (sending) => this.send(sending);
    const executor = new OrderExecutor({ context, lease, resend });
    void executor.run();
    return { node, lease, executor };
  }
}

function loadOrder(version: number): OrderRequest {
  return {
    idempotencyKey: `load-${version}`,
    operation: "loadVersion",
    service: "dot-models",
    server: "127.0.0.1:9000",
    weightVersion: version,
  };
}

interface Case {
  readonly applyScenario: (
    simulation: EngineOrderSimulation,
  ) => Promise<ReadonlyArray<string>>;
  /** Expected outcomes of the orders, in the order in which they are given. */
  readonly results: ReadonlyArray<string>;
  readonly effects: ReadonlyArray<string>;
}

const CASES: Readonly<Record<string, Case>> = {
  "nothing fails": {
    applyScenario: async (simulation) => [await simulation.performOrder(7)],
    results: ["done"],
    effects: ["1 load-7"],
  },
  "the response is lost after the order took effect": {
    applyScenario: async (simulation) => {
      simulation.behaviours.push("answerLost");
      return [await simulation.performOrder(7)];
    },
    results: ["done"],
    effects: ["1 load-7", "1 load-7"],
  },
  "the order is refused": {
    applyScenario: async (simulation) => {
      simulation.behaviours.push("refused");
      return [await simulation.performOrder(7)];
    },
    results: ["refused"],
    effects: [],
  },
  "the order does not run": {
    applyScenario: async (simulation) => {
      simulation.behaviours.push("notRun");
      return [await simulation.performOrder(7)];
    },
    results: ["notRun"],
    effects: [],
  },
  "a resend does not run after a lost response": {
    applyScenario: async (simulation) => {
      simulation.behaviours.push("answerLost", "notRun");
      return [await simulation.performOrder(7)];
    },
    results: ["unknown"],
    effects: ["1 load-7", "1 load-7"],
  },
  "the holder is killed after its order was dropped": {
    applyScenario: async (simulation) => {
      simulation.behaviours.push("dropped", "dropped", "dropped");
      const result = await simulation.performOrder(7);
      await simulation.killFirstNode();
      return [result];
    },
    results: ["unknown"],
    effects: ["2 load-7"],
  },
  "the holder is killed between the intent write and the send": {
    applyScenario: async (simulation) => {
      const { node, executor } = simulation.first;
      node.chooseBehaviour = () => ({
        ...FAST_RESPONSE,
        responseDelayMilliseconds: 20,
      });
      void executor.perform(loadOrder(7), simulation.send);
      await simulation.clock.advance(30);
      await simulation.killFirstNode();
      return [];
    },
    results: [],
    effects: ["2 load-7"],
  },
  "the holder's instance is suspended and neither clock shows it": {
    applyScenario: async (simulation) => {
      const milliseconds = TAKE_OVER_MILLISECONDS;
      const { clock } = simulation.first.node;
      void clock.stop({ milliseconds, haltsMonotonic: true });
      clock.stepWall(-milliseconds);
      await simulation.clock.advance(milliseconds);
      const isReportedHeld =
        simulation.first.lease.getHeldLease() !== undefined;
      return [
        `reported as held: ${isReportedHeld}`,
        await simulation.performOrder(7),
      ];
    },
    results: ["reported as held: true", "notRun"],
    effects: [],
  },
  "a successor gives an order for a newer version while an older order is open":
    {
      applyScenario: async (simulation) => {
        simulation.behaviours.push("dropped", "dropped", "dropped");
        const older = await simulation.performOrder(7);
        simulation.first.node.kill();
        const { lease, executor } = simulation.second;
        while (lease.getHeldLease() === undefined) {
          await simulation.clock.advance(10);
        }
        const newer = executor.perform(loadOrder(8), simulation.send);
        await simulation.clock.advance(ORDER_MILLISECONDS);
        return [older, (await newer).kind];
      },
      results: ["unknown", "done"],
      effects: ["2 load-7", "2 load-8"],
    },
  "an order for a newer version directly follows one with an unknown result": {
    applyScenario: async (simulation) => {
      simulation.behaviours.push("dropped", "dropped", "dropped");
      const { executor } = simulation.first;
      const older = executor.perform(loadOrder(7), simulation.send);
      await simulation.clock.advance(500);
      const newer = executor.perform(loadOrder(8), simulation.send);
      await simulation.clock.advance(ORDER_DEADLINE_MILLISECONDS);
      return [(await older).kind, (await newer).kind];
    },
    results: ["unknown", "notRun"],
    effects: ["1 load-7"],
  },
  "a newer order supersedes one with an unknown result, and the holder is killed":
    {
      applyScenario: async (simulation) => {
        simulation.behaviours.push("dropped", "dropped", "dropped");
        const older = await simulation.performOrder(7);
        const newer = await simulation.performOrder(8);
        await simulation.killFirstNode();
        return [older, newer];
      },
      results: ["unknown", "done"],
      effects: ["1 load-8"],
    },
};

for (
  const [title, { applyScenario, results, effects }] of Object.entries(CASES)
) {
  test(`orders to an engine when ${title}`, async (t) => {
    const simulation = new EngineOrderSimulation();
    await simulation.start();
    t.deepEqual(await applyScenario(simulation), results);
    await simulation.clock.advance(TAKE_OVER_MILLISECONDS);
    t.deepEqual(simulation.effects, effects);
    t.is(simulation.countOpenIntents(), 0);
  });
}
