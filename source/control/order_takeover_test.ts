import test from "ava";
import {
  ControlNode,
  LEASE_MILLISECONDS,
  ORDER_DEADLINE_MILLISECONDS,
} from "../../stand_ins/control/control_node.ts";
import { PROMPT_ANSWER } from "../../stand_ins/platform/local_platform.ts";
import { createPlatformState } from "../../stand_ins/platform/platform_state.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { LeaseKeeper } from "./lease_keeper.ts";
import {
  type LedgerOrder,
  OrderLedger,
  type OrderSending,
  type SendOrder,
  type SendOutcome,
} from "./order_ledger.ts";

const TAKE_OVER_MILLISECONDS = 4 *
  (LEASE_MILLISECONDS + ORDER_DEADLINE_MILLISECONDS);

// Ends before unknown orders are sent again.
const GIVEN_MILLISECONDS = LEASE_MILLISECONDS - 500;

/** An engine that is given orders by two nodes, and fails as told. */
class Bench {
  readonly clock = new ManualClock();
  readonly state = createPlatformState({ clock: this.clock });
  /** Orders that took effect, such as "1 load-7". */
  readonly effects: string[] = [];
  /** What becomes of the next sends; done when empty. */
  readonly fates: Array<"answerLost" | "dropped" | "notRun" | "refused"> = [];
  readonly first = this.#createNode("node-1");
  readonly second = this.#createNode("node-2");

  readonly send: SendOrder<string> = async (sending) => {
    const fate = this.fates.shift() ?? "done";
    await this.clock.sleep(10);
    return this.#decide(fate, sending);
  };

  async start(): Promise<void> {
    void this.first.lease.run();
    await this.clock.advance(100);
    void this.second.lease.run();
    await this.clock.advance(100);
  }

  /** Gives an order on node-1, the clock moved until it ends. */
  async give(version: number): Promise<string> {
    const given = this.first.ledger.perform(loadOrder(version), this.send);
    await this.clock.advance(GIVEN_MILLISECONDS);
    return (await given).kind;
  }

  async loseFirst(): Promise<void> {
    this.first.node.kill();
    await this.clock.advance(TAKE_OVER_MILLISECONDS);
  }

  openIntents(): number {
    return this.state.table.list("intents", { prefix: "" }).length;
  }

  #decide(fate: string, sending: OrderSending): SendOutcome<string> {
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
    readonly lease: LeaseKeeper;
    readonly ledger: OrderLedger;
  } {
    const node = new ControlNode({
      name,
      clock: this.clock,
      state: this.state,
    });
    const { context } = node;
    const lease = new LeaseKeeper({ context, name: "weights/dot-models" });
    const resend: SendOrder<string> = (sending) => this.send(sending);
    const ledger = new OrderLedger({ context, lease, resend });
    void ledger.run();
    return { node, lease, ledger };
  }
}

function loadOrder(version: number): LedgerOrder {
  return {
    idempotencyKey: `load-${version}`,
    operation: "loadVersion",
    service: "dot-models",
    server: "127.0.0.1:9000",
    weightVersion: version,
  };
}

interface Case {
  readonly happens: (bench: Bench) => Promise<ReadonlyArray<string>>;
  /** Results of the orders as given. */
  readonly results: ReadonlyArray<string>;
  readonly effects: ReadonlyArray<string>;
}

const CASES: Readonly<Record<string, Case>> = {
  "nothing fails": {
    happens: async (bench) => [await bench.give(7)],
    results: ["done"],
    effects: ["1 load-7"],
  },
  "the answer is lost after taking effect": {
    happens: async (bench) => {
      bench.fates.push("answerLost");
      return [await bench.give(7)];
    },
    results: ["done"],
    effects: ["1 load-7", "1 load-7"],
  },
  "the order is refused": {
    happens: async (bench) => {
      bench.fates.push("refused");
      return [await bench.give(7)];
    },
    results: ["refused"],
    effects: [],
  },
  "the order does not run": {
    happens: async (bench) => {
      bench.fates.push("notRun");
      return [await bench.give(7)];
    },
    results: ["notRun"],
    effects: [],
  },
  "it does not run after a lost answer": {
    happens: async (bench) => {
      bench.fates.push("answerLost", "notRun");
      return [await bench.give(7)];
    },
    results: ["unknown"],
    effects: ["1 load-7", "1 load-7"],
  },
  "the holder dies with an order that was dropped": {
    happens: async (bench) => {
      bench.fates.push("dropped", "dropped", "dropped");
      const result = await bench.give(7);
      await bench.loseFirst();
      return [result];
    },
    results: ["unknown"],
    effects: ["2 load-7"],
  },
  "the holder dies between the intent and the send": {
    happens: async (bench) => {
      const { node, ledger } = bench.first;
      node.decideFate = () => ({ ...PROMPT_ANSWER, answerMilliseconds: 20 });
      void ledger.perform(loadOrder(7), bench.send);
      await bench.clock.advance(30);
      await bench.loseFirst();
      return [];
    },
    results: [],
    effects: ["2 load-7"],
  },
  "the holder's machine is paused and neither clock shows it": {
    happens: async (bench) => {
      const milliseconds = TAKE_OVER_MILLISECONDS;
      const { clock } = bench.first.node;
      void clock.stop({ milliseconds, haltsMonotonic: true });
      clock.stepWall(-milliseconds);
      await bench.clock.advance(milliseconds);
      const isBelieved = bench.first.lease.ifHeld() !== undefined;
      return [`believed held: ${isBelieved}`, await bench.give(7)];
    },
    results: ["believed held: true", "notRun"],
    effects: [],
  },
  "a successor is asked for a newer version while an older order is open": {
    happens: async (bench) => {
      bench.fates.push("dropped", "dropped", "dropped");
      const older = await bench.give(7);
      bench.first.node.kill();
      const { lease, ledger } = bench.second;
      while (lease.ifHeld() === undefined) await bench.clock.advance(10);
      const newer = ledger.perform(loadOrder(8), bench.send);
      await bench.clock.advance(GIVEN_MILLISECONDS);
      return [older, (await newer).kind];
    },
    results: ["unknown", "done"],
    effects: ["2 load-7", "2 load-8"],
  },
  "a newer version follows an unknown one at once": {
    happens: async (bench) => {
      bench.fates.push("dropped", "dropped", "dropped");
      const { ledger } = bench.first;
      const older = ledger.perform(loadOrder(7), bench.send);
      await bench.clock.advance(500);
      const newer = ledger.perform(loadOrder(8), bench.send);
      await bench.clock.advance(ORDER_DEADLINE_MILLISECONDS);
      return [(await older).kind, (await newer).kind];
    },
    results: ["unknown", "notRun"],
    effects: ["1 load-7"],
  },
  "a newer version voids an unknown one, and the holder dies": {
    happens: async (bench) => {
      bench.fates.push("dropped", "dropped", "dropped");
      const older = await bench.give(7);
      const newer = await bench.give(8);
      await bench.loseFirst();
      return [older, newer];
    },
    results: ["unknown", "done"],
    effects: ["1 load-8"],
  },
};

for (const [title, { happens, results, effects }] of Object.entries(CASES)) {
  test(`orders to an engine when ${title}`, async (t) => {
    const bench = new Bench();
    await bench.start();
    t.deepEqual(await happens(bench), results);
    await bench.clock.advance(TAKE_OVER_MILLISECONDS);
    t.deepEqual(bench.effects, effects);
    t.is(bench.openIntents(), 0);
  });
}
