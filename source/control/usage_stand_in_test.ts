import { create } from "@bufbuild/protobuf";
import test from "ava";
import { NodeSettingsSchema } from "../../generated/snipepath/v1/settings_pb.ts";
import { ControlNode } from "../../stand_ins/control/control_node.ts";
import { ToldBus } from "../../stand_ins/entry/told_bus.ts";
import { startPlatform } from "../../stand_ins/platform/start_platform.ts";
import type { NodeContext } from "../node/node_context.ts";
import { createPlatform } from "../platform/create_platform.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { LeaseKeeper } from "./lease_keeper.ts";
import { UsageReporter } from "./usage_reporter.ts";
import { UsageTally } from "./usage_tally.ts";

const WINDOW_MILLISECONDS = 400;
const FIGURES = { requests: 1, promptTokens: 1, generatedTokens: 1 };

function createContext(name: string, address: string): NodeContext {
  const clock = new SystemClock();
  const { context } = new ControlNode({
    name,
    clock,
    state: undefined as never,
  });
  return {
    ...context,
    clock,
    settings: create(NodeSettingsSchema, {
      node: name,
      leaseMilliseconds: 900,
      orderDeadlineMilliseconds: 400,
      usageWindowMilliseconds: WINDOW_MILLISECONDS,
    }),
    platform: createPlatform({
      address: `http://${address}`,
      clock,
      silenceMilliseconds: 200,
      timeoutMilliseconds: 400,
    }),
  };
}

test("two nodes report once to the platform's stand-in while it fails", async (t) => {
  const platform = await startPlatform();
  const bus = new ToldBus({ clock: new SystemClock(), delayMilliseconds: 5 });
  const stopping = new AbortController();
  const tallies = ["node-1", "node-2"].map((name) => {
    const context = {
      ...createContext(name, platform.address),
      stopping: stopping.signal,
    };
    const told = bus.join(name);
    const lease = new LeaseKeeper({ context, name: "usage" });
    const tally = new UsageTally({ context, told });
    void lease.run();
    void tally.run();
    void new UsageReporter({ context, told, tally, lease }).run();
    return tally;
  });
  const { faults, state } = platform;
  const figuresOf = new Map<string, Set<string>>();
  let recorded = 0;
  const sum = (): number => {
    let requests = 0;
    for (const { report } of state.usageReports.received()) {
      const key = `${report.windowStart}/${report.organisation}`;
      const figures = JSON.stringify([report.figures, report.adjustments]);
      const known = figuresOf.get(key) ?? new Set();
      figuresOf.set(key, known.add(figures));
    }
    for (
      const [figures, adjustments] of [...figuresOf.values()].flatMap((known) =>
        [...known].map((text) => JSON.parse(text))
      )
    ) {
      requests += figures.requests;
      for (const { figures } of adjustments) requests += figures.requests;
    }
    return requests;
  };
  for (let round = 0; round < 12; round++) {
    for (const tally of tallies) tally.record("school", FIGURES);
    recorded += tallies.length;
    if (round === 2) faults.set({ fault: "freeze", existing: true });
    if (round === 4) faults.set({ fault: "loseAnswer", count: 3 });
    if (round === 5) {
      faults.set({ path: "/usage-reports", fault: "loseAnswer", count: 2 });
    }
    if (round === 7) faults.set({ fault: "down", count: 4 });
    if (round === 9) faults.set({ fault: "freeze", count: 2 });
    await new Promise((resolve) => setTimeout(resolve, 150));
  }
  faults.clear();
  for (let wait = 0; wait < 400 && sum() < recorded; wait++) {
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  t.is(sum(), recorded);
  t.true([...figuresOf.values()].every((known) => known.size === 1));
  const numbers = state.usageReports.received().map(({ report }) =>
    report.fencingNumber
  );
  t.deepEqual(numbers, [...numbers].sort((a, b) => a - b));
  stopping.abort();
  await platform.close();
});
