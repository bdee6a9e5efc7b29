import { create } from "@bufbuild/protobuf";
import test from "ava";
import { NodeSettingsSchema } from "../../generated/snipepath/v1/settings_pb.ts";
import { ControlNode } from "../../stand_ins/control/control_node.ts";
import { FactBus } from "../../stand_ins/entry/fact_bus.ts";
import type { Fault } from "../../stand_ins/faults/fault_injector.ts";
import { startPlatform } from "../../stand_ins/platform/start_platform.ts";
import {
  createPlatformState,
  type PlatformState,
} from "../../stand_ins/platform/platform_state.ts";
import type { NodeContext } from "../context/node_context.ts";
import { createPlatform } from "../platform/create_platform.ts";
import type { UsageReport } from "../platform/usage_report_client.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { LeaseElector } from "./lease_elector.ts";
import { UsageReporter } from "./usage_reporter.ts";
import { LocalUsageCounters } from "./local_usage_counters.ts";

const WINDOW_MILLISECONDS = 400;
const FAULTS_BY_ROUND: Readonly<
  Record<number, Pick<Fault, "fault"> & Partial<Fault>>
> = {
  2: { fault: "freeze", existing: true },
  4: { fault: "loseAnswer", count: 3 },
  5: { path: "/usage-reports", fault: "loseAnswer", count: 2 },
  7: { fault: "down", count: 4 },
  9: { fault: "freeze", count: 2 },
};
const FIGURES = { requests: 1, promptTokens: 1, generatedTokens: 1 };

function createContext(name: string, address: string): NodeContext {
  const clock = new SystemClock();
  const state = createPlatformState();
  const { context } = new ControlNode({ name, clock, state });
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

/** Returns the distinct contents of the reports, by window and organisation. */
function readContents(
  state: PlatformState,
): ReadonlyMap<string, ReadonlySet<string>> {
  const contents = new Map<string, Set<string>>();
  for (const { report } of state.usageReports.received()) {
    const { windowStart, organisation, figures, adjustments } = report;
    const windowAndOrganisation = `${windowStart}/${organisation}`;
    const distinct = contents.get(windowAndOrganisation) ?? new Set();
    contents.set(
      windowAndOrganisation,
      distinct.add(JSON.stringify({ figures, adjustments })),
    );
  }
  return contents;
}

/** Sums the reported requests; identical reports count once. */
function sumReportedRequests(state: PlatformState): number {
  const reports = [...readContents(state).values()].flatMap((distinct) =>
    [...distinct].map((text) =>
      JSON.parse(text) as Pick<UsageReport, "figures" | "adjustments">
    )
  );
  return reports.flatMap(({ figures, adjustments }) => [
    figures.requests,
    ...adjustments.map((adjustment) => adjustment.figures.requests),
  ]).reduce((sum, requests) => sum + requests, 0);
}

test("two nodes report all usage, and all reports of a window are identical, while the platform stand-in injects faults", async (t) => {
  const platform = await startPlatform();
  const bus = new FactBus({ clock: new SystemClock(), delayMilliseconds: 5 });
  const stopping = new AbortController();
  const countersByNode = ["node-1", "node-2"].map((name) => {
    const context = {
      ...createContext(name, platform.address),
      stopping: stopping.signal,
    };
    const replicatedFacts = bus.join(name);
    const lease = new LeaseElector({ context, name: "usage" });
    const counters = new LocalUsageCounters({ context, replicatedFacts });
    void lease.run();
    void counters.run();
    void new UsageReporter({ context, replicatedFacts, counters, lease }).run();
    return counters;
  });
  const { faults, state } = platform;
  let recordedRequests = 0;
  for (let round = 0; round < 12; round++) {
    for (const counters of countersByNode) counters.record("school", FIGURES);
    recordedRequests += countersByNode.length;
    const fault = FAULTS_BY_ROUND[round];
    if (fault !== undefined) faults.set(fault);
    await new Promise((resolve) => setTimeout(resolve, 150));
  }
  faults.clear();
  for (
    let polls = 0;
    polls < 400 && sumReportedRequests(state) < recordedRequests;
    polls++
  ) {
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  t.is(sumReportedRequests(state), recordedRequests);
  const contents = [...readContents(state).values()];
  t.true(contents.every((distinct) => distinct.size === 1));
  const fencingNumbers = state.usageReports.received().map(({ report }) =>
    report.fencingNumber
  );
  t.deepEqual(fencingNumbers, [...fencingNumbers].sort((a, b) => a - b));
  stopping.abort();
  await platform.close();
});
