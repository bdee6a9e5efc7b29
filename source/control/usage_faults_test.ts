import test from "ava";
import {
  ControlNode,
  LEASE_MILLISECONDS,
  ORDER_DEADLINE_MILLISECONDS,
  USAGE_WINDOW_MILLISECONDS,
} from "../../stand_ins/control/control_node.ts";
import { UsageNode } from "../../stand_ins/control/usage_node.ts";
import { ToldBus } from "../../stand_ins/entry/told_bus.ts";
import { PROMPT_ANSWER } from "../../stand_ins/platform/local_platform.ts";
import { createPlatformState } from "../../stand_ins/platform/platform_state.ts";
import { ManualClock } from "../utilities/manual_clock.ts";

const TAKE_OVER_MILLISECONDS = 4 *
  (LEASE_MILLISECONDS + ORDER_DEADLINE_MILLISECONDS);
// A window is due when it and the settling time have passed.
const DUE_MILLISECONDS = 2 * USAGE_WINDOW_MILLISECONDS;

/** Two nodes, the first of which holds the lease; each counts 10 requests in window 0. */
class Bench {
  readonly clock = new ManualClock();
  readonly state = createPlatformState({ clock: this.clock });
  readonly #bus = new ToldBus({ clock: this.clock, delayMilliseconds: 50 });
  readonly first = this.#createNode("node-1");
  readonly second = this.#createNode("node-2");
  readonly #start = this.clock.wall();

  async start(): Promise<void> {
    this.first.record("school", 10);
    this.second.record("school", 10);
    await this.clock.advance(100);
  }

  /** Windows as sent, such as "node-1#1 0: 20 (+5 of 0)". */
  sent(): ReadonlyArray<string> {
    return this.state.usageReports.received().map(({ report }) => {
      const window = this.#number(report.windowStart);
      const adjustments = report.adjustments.map(({ windowStart, figures }) =>
        ` (+${figures.requests} of ${this.#number(windowStart)})`
      );
      return `${report.reporter}#${report.fencingNumber} ${window}: ` +
        report.figures.requests + adjustments.join("");
    });
  }

  /** Advances until the first node's next call to an area, whose fate is given. */
  async untilCall(
    writtenTable: string,
    fate: Partial<typeof PROMPT_ANSWER> | { readonly kind: "late" },
  ): Promise<void> {
    let isMade = false;
    this.first.node.decideFate = (area, table) => {
      const name = area === "table" ? table : area;
      if (isMade || name !== writtenTable) return PROMPT_ANSWER;
      isMade = true;
      return { ...PROMPT_ANSWER, ...fate };
    };
    while (!isMade) await this.clock.advance(1);
  }

  #number(windowStart: number): number {
    return Math.round((windowStart - this.#start) / USAGE_WINDOW_MILLISECONDS);
  }

  #createNode(name: string): UsageNode {
    const { clock, state } = this;
    const node = new ControlNode({ name, clock, state });
    return new UsageNode(node, this.#bus.join(name));
  }
}

interface Case {
  readonly happens: (bench: Bench) => Promise<void>;
  readonly sent: ReadonlyArray<string>;
}

const CASES: Readonly<Record<string, Case>> = {
  "nothing fails": {
    happens: async () => {},
    sent: ["node-1#1 0: 20"],
  },
  "the reporter is killed between freeze and send": {
    happens: async (bench) => {
      await bench.untilCall("usageReports", { kind: "refused" });
      bench.first.kill();
      bench.second.tally.record("school", {
        requests: 3,
        promptTokens: 0,
        generatedTokens: 0,
      });
    },
    sent: ["node-2#2 0: 20", "node-2#2 2: 3"],
  },
  "the reporter is killed between send and answer": {
    happens: async (bench) => {
      await bench.untilCall("usageReports", { kind: "answerLost" });
      await bench.clock.advance(2);
      bench.first.kill();
    },
    sent: ["node-1#1 0: 20", "node-2#2 0: 20"],
  },
  "the answer to a report is lost, and usage arrives before it is sent again": {
    happens: async (bench) => {
      await bench.untilCall("usageReports", { kind: "answerLost" });
      bench.second.node.clock.stepWall(-DUE_MILLISECONDS);
      bench.second.record("school", 5);
      bench.second.node.clock.stepWall(DUE_MILLISECONDS);
    },
    sent: ["node-1#1 0: 20", "node-1#1 0: 20", "node-1#1 1: 0 (+5 of 0)"],
  },
  "usage of a window arrives after its freeze": {
    happens: async (bench) => {
      await bench.clock.advance(DUE_MILLISECONDS);
      bench.second.node.clock.stepWall(-DUE_MILLISECONDS);
      bench.second.record("school", 5);
      await bench.clock.advance(DUE_MILLISECONDS);
    },
    sent: ["node-1#1 0: 20", "node-1#1 1: 0 (+5 of 0)"],
  },
  "a freeze would land late, under an earlier version of the lease's row": {
    happens: async (bench) => {
      await bench.untilCall("usage_windows", {
        kind: "late",
        sendMilliseconds: ORDER_DEADLINE_MILLISECONDS - 10,
      });
      bench.second.node.clock.stepWall(-DUE_MILLISECONDS);
      bench.second.record("school", 5);
      bench.second.node.clock.stepWall(DUE_MILLISECONDS);
    },
    sent: ["node-1#1 0: 25"],
  },
  "the holder is stopped past its lease just before a send": {
    happens: async (bench) => {
      await bench.untilCall("usageReports", { connectMilliseconds: 50 });
      void bench.first.node.clock.stop({
        milliseconds: TAKE_OVER_MILLISECONDS,
        haltsMonotonic: false,
      });
    },
    sent: ["node-2#2 0: 20"],
  },
  "the holder's machine is suspended past its lease just before a send": {
    happens: async (bench) => {
      await bench.untilCall("usageReports", { connectMilliseconds: 50 });
      void bench.first.node.clock.stop({
        milliseconds: TAKE_OVER_MILLISECONDS,
        haltsMonotonic: true,
      });
    },
    sent: ["node-2#2 0: 20"],
  },
  "a node ends before it told its counters": {
    happens: async (bench) => {
      const { clock, state } = bench;
      const apart = new ToldBus({ clock, delayMilliseconds: 0 });
      const node = new ControlNode({ name: "node-3", clock, state });
      const third = new UsageNode(node, apart.join("node-3"));
      third.record("school", 7);
      node.terminate();
    },
    sent: ["node-1#1 0: 27"],
  },
};

for (const [title, { happens, sent }] of Object.entries(CASES)) {
  test(`usage is reported once when ${title}`, async (t) => {
    const bench = new Bench();
    await bench.start();
    await happens(bench);
    await bench.clock.advance(DUE_MILLISECONDS + 2 * TAKE_OVER_MILLISECONDS);
    t.deepEqual(bench.sent(), sent);
  });
}
