import test from "ava";
import {
  ControlNode,
  LEASE_MILLISECONDS,
  ORDER_DEADLINE_MILLISECONDS,
  USAGE_WINDOW_MILLISECONDS,
} from "../../stand_ins/control/control_node.ts";
import { UsageNode } from "../../stand_ins/control/usage_node.ts";
import { FactBus } from "../../stand_ins/entry/fact_bus.ts";
import { FAST_RESPONSE } from "../../stand_ins/platform/local_platform.ts";
import { createPlatformState } from "../../stand_ins/platform/platform_state.ts";
import { ManualClock } from "../utilities/manual_clock.ts";

const TAKE_OVER_MILLISECONDS = 4 *
  (LEASE_MILLISECONDS + ORDER_DEADLINE_MILLISECONDS);
// A window is due once it has ended and the propagation time has passed.
const DUE_MILLISECONDS = 2 * USAGE_WINDOW_MILLISECONDS;

/** Two nodes that each count 10 requests in window 0; the first one holds the lease. */
class UsageSimulation {
  readonly clock = new ManualClock();
  readonly state = createPlatformState({ clock: this.clock });
  readonly #bus = new FactBus({ clock: this.clock, delayMilliseconds: 50 });
  readonly first = this.#createNode("node-1");
  readonly second = this.#createNode("node-2");
  readonly #start = this.clock.wall();

  async start(): Promise<void> {
    this.first.recordRequests("school", 10);
    this.second.recordRequests("school", 10);
    await this.clock.advance(100);
  }

  /** Lists the received reports, such as "node-1#1 0: 20 (+5 of 0)". */
  listReports(): ReadonlyArray<string> {
    return this.state.usageReports.received().map(({ report }) => {
      const window = this.#number(report.windowStart);
      const adjustments = report.adjustments.map(({ windowStart, figures }) =>
        ` (+${figures.requests} of ${this.#number(windowStart)})`
      );
      return `${report.reporter}#${report.fencingNumber} ${window}: ` +
        report.figures.requests + adjustments.join("");
    });
  }

  /**
   * Advances the clock until the first node's next call to a table or area, and decides how that
   * call is answered.
   */
  async advanceUntilCall(
    writtenTable: string,
    fate: Partial<typeof FAST_RESPONSE> | { readonly kind: "late" },
  ): Promise<void> {
    let hasCalled = false;
    this.first.node.chooseBehaviour = (area, table) => {
      const name = area === "table" ? table : area;
      if (hasCalled || name !== writtenTable) return FAST_RESPONSE;
      hasCalled = true;
      return { ...FAST_RESPONSE, ...fate };
    };
    while (!hasCalled) await this.clock.advance(1);
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
  readonly applyScenario: (simulation: UsageSimulation) => Promise<void>;
  readonly reports: ReadonlyArray<string>;
}

const CASES: Readonly<Record<string, Case>> = {
  "nothing fails": {
    applyScenario: async () => {},
    reports: ["node-1#1 0: 20"],
  },
  "the reporter is killed between freeze and send": {
    applyScenario: async (simulation) => {
      await simulation.advanceUntilCall("usageReports", { kind: "refused" });
      simulation.first.kill();
      simulation.second.counters.record("school", {
        requests: 3,
        promptTokens: 0,
        generatedTokens: 0,
      });
    },
    reports: ["node-2#2 0: 20", "node-2#2 2: 3"],
  },
  "the reporter is killed between send and response": {
    applyScenario: async (simulation) => {
      await simulation.advanceUntilCall("usageReports", { kind: "answerLost" });
      await simulation.clock.advance(2);
      simulation.first.kill();
    },
    reports: ["node-1#1 0: 20", "node-2#2 0: 20"],
  },
  "the response to a report is lost, and usage arrives before the report is resent":
    {
      applyScenario: async (simulation) => {
        await simulation.advanceUntilCall("usageReports", {
          kind: "answerLost",
        });
        simulation.second.node.clock.stepWall(-DUE_MILLISECONDS);
        simulation.second.recordRequests("school", 5);
        simulation.second.node.clock.stepWall(DUE_MILLISECONDS);
      },
      reports: ["node-1#1 0: 20", "node-1#1 0: 20", "node-1#1 1: 0 (+5 of 0)"],
    },
  "usage of a window arrives after the window was frozen": {
    applyScenario: async (simulation) => {
      await simulation.clock.advance(DUE_MILLISECONDS);
      simulation.second.node.clock.stepWall(-DUE_MILLISECONDS);
      simulation.second.recordRequests("school", 5);
      await simulation.clock.advance(DUE_MILLISECONDS);
    },
    reports: ["node-1#1 0: 20", "node-1#1 1: 0 (+5 of 0)"],
  },
  "a freeze arrives late, with an earlier version of the lease's row": {
    applyScenario: async (simulation) => {
      await simulation.advanceUntilCall("usage_windows", {
        kind: "late",
        requestDelayMilliseconds: ORDER_DEADLINE_MILLISECONDS - 10,
      });
      simulation.second.node.clock.stepWall(-DUE_MILLISECONDS);
      simulation.second.recordRequests("school", 5);
      simulation.second.node.clock.stepWall(DUE_MILLISECONDS);
    },
    reports: ["node-1#1 0: 25"],
  },
  "the holder is stopped past its lease just before a send": {
    applyScenario: async (simulation) => {
      await simulation.advanceUntilCall("usageReports", {
        connectDelayMilliseconds: 50,
      });
      void simulation.first.node.clock.stop({
        milliseconds: TAKE_OVER_MILLISECONDS,
        haltsMonotonic: false,
      });
    },
    reports: ["node-2#2 0: 20"],
  },
  "the holder's instance is suspended past its lease just before a send": {
    applyScenario: async (simulation) => {
      await simulation.advanceUntilCall("usageReports", {
        connectDelayMilliseconds: 50,
      });
      void simulation.first.node.clock.stop({
        milliseconds: TAKE_OVER_MILLISECONDS,
        haltsMonotonic: true,
      });
    },
    reports: ["node-2#2 0: 20"],
  },
  "a node shuts down before it published its counters": {
    applyScenario: async (simulation) => {
      const { clock, state } = simulation;
      const isolatedBus = new FactBus({ clock, delayMilliseconds: 0 });
      const node = new ControlNode({ name: "node-3", clock, state });
      const third = new UsageNode(node, isolatedBus.join("node-3"));
      third.recordRequests("school", 7);
      node.terminate();
    },
    reports: ["node-1#1 0: 27"],
  },
};

for (const [title, { applyScenario, reports }] of Object.entries(CASES)) {
  test(`usage is reported once when ${title}`, async (t) => {
    const simulation = new UsageSimulation();
    await simulation.start();
    await applyScenario(simulation);
    await simulation.clock.advance(
      DUE_MILLISECONDS + 2 * TAKE_OVER_MILLISECONDS,
    );
    t.deepEqual(simulation.listReports(), reports);
  });
}
