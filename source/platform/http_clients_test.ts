import test from "ava";
import type { Fault } from "../../stand_ins/faults/fault_injector.ts";
import {
  type RunningPlatform,
  startPlatform,
} from "../../stand_ins/platform/start_platform.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { createPlatform } from "./create_platform.ts";
import type { Platform } from "./platform.ts";
import type { PlatformOutcome } from "./platform_outcome.ts";

const SILENCE_MILLISECONDS = 1000;
const FIGURES = { requests: 1, promptTokens: 2, generatedTokens: 3 };

interface Operation {
  readonly path: string;
  readonly prepare?: (running: RunningPlatform) => void;
  readonly call: (
    platform: Platform,
    number: number,
  ) => Promise<PlatformOutcome<unknown>>;
  /** Returns the number of calls that took effect; absent for reads. */
  readonly effects?: (running: RunningPlatform) => number;
}

const OPERATIONS: Readonly<Record<string, Operation>> = {
  "table.get": {
    path: "/table",
    call: (platform, number) => platform.table.get("t", `absent/${number}`),
  },
  "table.list": {
    path: "/table",
    call: (platform, number) =>
      platform.table.list("t", { prefix: `${number}` }),
  },
  "table.commit": {
    path: "/table",
    call: (platform, number) =>
      platform.table.commit({
        conditions: [{ table: "t", key: `${number}`, version: 0 }],
        writes: [{ table: "t", key: `${number}`, value: "x" }],
      }),
    effects: ({ state }) => state.table.list("t", { prefix: "" }).length,
  },
  "objects.put": {
    path: "/objects",
    call: (platform, number) =>
      platform.objects.put(`${number}`, FIGURES_BYTES),
    effects: ({ state }) => state.objects.list("").length,
  },
  "objects.get": {
    path: "/objects",
    prepare: ({ state }) => state.objects.put("a/b", FIGURES_BYTES),
    call: (platform) => platform.objects.get("a/b"),
  },
  "objects.list": {
    path: "/objects",
    call: (platform) => platform.objects.list("a"),
  },
  "objects.delete": {
    path: "/objects",
    prepare: ({ state }) => {
      for (let key = 0; key < 10; key++) {
        state.objects.put(`${key}`, Buffer.from(""));
      }
    },
    call: (platform, number) => platform.objects.delete(`${number}`),
    effects: ({ state }) => 10 - state.objects.list("").length,
  },
  "orders.place": {
    path: "/orders",
    call: (platform, number) =>
      platform.orders.place({
        idempotencyKey: `${number}`,
        fencingNumber: 1,
        operation: "start",
        service: "dot-models",
        failureDomain: "cluj-a",
        tier: "cheap",
        server: "",
      }),
    effects: ({ state }) => state.orders.received().length,
  },
  "usageReports.report": {
    path: "/usage-reports",
    call: (platform, number) =>
      platform.usageReports.report({
        organisation: "school",
        windowStart: number,
        figures: FIGURES,
        adjustments: [],
        reporter: "node-1",
        fencingNumber: 1,
      }),
    effects: ({ state }) => state.usageReports.received().length,
  },
  "instances.list": {
    path: "/instances",
    call: (platform) => platform.instances.list(),
  },
  "instances.register": {
    path: "/instances",
    call: (platform, number) =>
      platform.instances.register({
        kind: "node",
        name: `node-${number}`,
        address: "127.0.0.1:1",
        failureDomain: "cluj-a",
        service: "",
        tier: "steady",
        leaving: false,
        microsPerHour: 0,
      }),
    effects: ({ state }) => state.instances.current().length,
  },
};

const FIGURES_BYTES = Buffer.from(JSON.stringify(FIGURES));

const FAULTS: Readonly<Record<string, Pick<Fault, "fault"> & Partial<Fault>>> =
  {
    down: { fault: "down", count: 1 },
    slow: { fault: "slow", count: 1, milliseconds: 5 },
    loseAnswer: { fault: "loseAnswer", count: 1 },
    freeze: { fault: "freeze", count: 1 },
    freezeExisting: { fault: "freeze", existing: true },
    error: { fault: "error", count: 1 },
    garbled: { fault: "garbled", count: 1 },
    crossed: { fault: "crossed", count: 1 },
  };

/** Runs one operation against one platform; the clock advances only while a call hangs. */
class Bench {
  readonly #clock = new ManualClock();
  readonly #operation: Operation;
  readonly #running: RunningPlatform;
  readonly #platform: Platform;
  #calls = 0;

  constructor(operation: Operation, running: RunningPlatform) {
    this.#operation = operation;
    this.#running = running;
    this.#platform = createPlatform({
      address: `http://${running.address}`,
      clock: this.#clock,
      silenceMilliseconds: SILENCE_MILLISECONDS,
      timeoutMilliseconds: 3 * SILENCE_MILLISECONDS,
    });
    operation.prepare?.(running);
  }

  effects(): number {
    return this.#operation.effects?.(this.#running) ?? 0;
  }

  async callWithoutFault(): Promise<string> {
    return (await this.#call()).kind;
  }

  /**
   * Returns whether a call to the closed platform ends as `notRun` without effect. Makes up to 16
   * calls, since the first ones may still use connections whose end was not detected yet.
   */
  async isRefusedAfterClose(): Promise<boolean> {
    const before = this.effects();
    for (let attempt = 0; attempt < 16; attempt++) {
      const kind = await this.callWithoutFault();
      if (kind === "notRun") return this.effects() === before;
      if (kind === "ok") return false;
    }
    return false;
  }

  async callWithFault(name: string): Promise<string> {
    const fault = FAULTS[name];
    if (fault === undefined) return "no such fault";
    // The connection of the previous call can be reused after one turn of the event loop.
    await nextTurn();
    const { faults } = this.#running;
    const hits = faults.faultedRequests;
    const before = this.effects();
    faults.set({ path: this.#operation.path, ...fault });
    let isSettled = false;
    const outcome = this.#call().finally(() => {
      isSettled = true;
    });
    if (fault.fault === "freeze") {
      while (faults.faultedRequests === hits && !isSettled) await nextTurn();
      await this.#clock.advance(SILENCE_MILLISECONDS);
    }
    const { kind } = await outcome;
    return `${kind}, ${this.effects() - before} effects`;
  }

  #call(): Promise<PlatformOutcome<unknown>> {
    this.#calls += 1;
    return this.#operation.call(this.#platform, this.#calls - 1);
  }
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 1));
}

for (const [name, operation] of Object.entries(OPERATIONS)) {
  test(`${name} reports the effect of each fault and pair of faults correctly`, async (t) => {
    const seen: Record<string, string> = {};
    for (const first of Object.keys(FAULTS)) {
      for (const second of Object.keys(FAULTS)) {
        const running = await startPlatform({ listLagMilliseconds: 0 });
        const bench = new Bench(operation, running);
        t.is(await bench.callWithoutFault(), "ok");
        const outcomes = [await bench.callWithFault(first)];
        // A second hanging call in a row needs a connection that was opened again.
        if (second === "freezeExisting") {
          t.is(await bench.callWithoutFault(), "ok");
        }
        outcomes.push(await bench.callWithFault(second));
        t.is(
          await bench.callWithoutFault(),
          "ok",
          `after ${first} and ${second}`,
        );
        await running.close();
        t.true(await bench.isRefusedAfterClose());
        seen[first] ??= outcomes[0] ?? "";
        t.is(outcomes[0], seen[first], `${first} before ${second}`);
        seen[second] ??= outcomes[1] ?? "";
        t.is(outcomes[1], seen[second], `${second} after ${first}`);
      }
    }
    t.snapshot(seen);
  });
}
