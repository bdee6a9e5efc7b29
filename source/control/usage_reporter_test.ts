import test from "ava";
import fc from "fast-check";
import {
  ControlNode,
  USAGE_WINDOW_MILLISECONDS,
} from "../../stand_ins/control/control_node.ts";
import {
  createScheduleArbitrary,
  runSchedule,
  type ScheduledFault,
} from "../../stand_ins/control/fault_schedule.ts";
import { UsageNode } from "../../stand_ins/control/usage_node.ts";
import { FactBus } from "../../stand_ins/entry/fact_bus.ts";
import {
  createPlatformState,
  type PlatformState,
} from "../../stand_ins/platform/platform_state.ts";
import { invariant } from "../utilities/invariant.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { readPublishedUsage } from "./local_usage_counters.ts";

const RUNS = 40;
const SEED = 5203;
const NODES = 3;
const FAULTY_MILLISECONDS = 60_000;
const CALM_MILLISECONDS = 60_000;
const STEP_MILLISECONDS = 100;
const ORGANISATIONS = ["school", "library"];

interface ReportedTotals {
  readonly requests: number;
  readonly adjusted: number;
}

/** Checks the guarantees on all reports that the platform received, and sums them. */
function checkReports(state: PlatformState): ReportedTotals {
  const windows = new Map<string, string>();
  const result = { requests: 0, adjusted: 0 };
  let highest = 0;
  for (const { report } of state.usageReports.received()) {
    invariant(report.fencingNumber >= highest, "An earlier holder reported");
    highest = report.fencingNumber;
    const key = `${report.windowStart}/${report.organisation}`;
    const figures = JSON.stringify([report.figures, report.adjustments]);
    const first = windows.get(key);
    invariant(first === undefined || first === figures, `${key} changed`);
    if (first !== undefined) continue;
    windows.set(key, figures);
    for (const { windowStart, figures } of report.adjustments) {
      invariant(
        windowStart < report.windowStart,
        `${key} adjusts a later window`,
      );
      result.adjusted += figures.requests;
    }
    result.requests += report.figures.requests;
  }
  result.requests += result.adjusted;
  return result;
}

interface RunOptions {
  readonly schedule: ReadonlyArray<ScheduledFault>;
  readonly seed: number;
  /** Times at which node 0, 1 and so on are killed and replaced, in milliseconds. */
  readonly kills: ReadonlyArray<number>;
}

interface RunResult extends ReportedTotals {
  readonly expected: number;
  /** Requests that killed nodes had counted but not published. */
  readonly unpublished: number;
}

async function runUsage(options: RunOptions): Promise<RunResult> {
  const clock = new ManualClock();
  const state = createPlatformState({ clock });
  const bus = new FactBus({ clock, delayMilliseconds: 50 });
  const observer = bus.join("observer");
  const random = createRandomSource(options.seed);
  // A replacement receives the facts published before its start, as it would from its first peer.
  const replicatedFactsByNode = Array.from(
    { length: 2 * NODES },
    (_, index) => bus.join(`node-${index + 1}`),
  );
  let started = 0;
  const start = (): UsageNode => {
    started += 1;
    const name = `node-${started}`;
    const seed = options.seed + started;
    const node = new ControlNode({ name, clock, state, seed });
    return new UsageNode(node, replicatedFactsByNode[started - 1] ?? observer);
  };
  const nodes = Array.from({ length: NODES }, start);
  const all = [...nodes];
  const controlled = nodes.map(({ node }) => node);
  void runSchedule(options.schedule, controlled, { clock, seed: options.seed });
  options.kills.forEach(async (at, index) => {
    await clock.sleep(at);
    nodes[index]?.kill();
    nodes[index] = start();
    all.push(nodes[index]);
  });
  while (clock.monotonic() < FAULTY_MILLISECONDS + CALM_MILLISECONDS) {
    await clock.advance(STEP_MILLISECONDS);
    const holders = nodes.filter(({ node, lease }) =>
      // A node cannot detect a suspension that neither clock shows.
      !node.clock.hasHiddenStop && !node.clock.isStopped &&
      lease.getHeldLease() !== undefined
    );
    invariant(holders.length <= 1, "Two holders at once");
    if (clock.monotonic() > FAULTY_MILLISECONDS) continue;
    const organisation = ORGANISATIONS[random.nextBelow(ORGANISATIONS.length)];
    nodes[random.nextBelow(NODES)]?.recordRequests(
      organisation ?? "",
      1 + random.nextBelow(9),
    );
  }
  const publishedUsage = readPublishedUsage(observer);
  let expected = 0;
  let unpublished = 0;
  for (const { recordedRequests: recorded, isKilled, node } of all) {
    const published = publishedUsage
      .filter(({ originStart }) => originStart === node.context.nodeStart)
      .reduce((sum, { figures }) => sum + figures.requests, 0);
    expected += isKilled ? published : recorded;
    unpublished += isKilled ? recorded - published : 0;
  }
  return { ...checkReports(state), expected, unpublished };
}

test("each window has one reported content, and the totals equal the counted usage", async (t) => {
  const sums = { requests: 0, adjusted: 0, recorded: 0 };
  await fc.assert(
    fc.asyncProperty(
      createScheduleArbitrary(NODES, FAULTY_MILLISECONDS),
      fc.array(fc.nat(FAULTY_MILLISECONDS), { maxLength: NODES - 1 }),
      fc.nat(1_000_000),
      async (schedule, kills, seed) => {
        const result = await runUsage({ schedule, kills, seed });
        // A holder may have reported usage that it had not published before it was killed.
        invariant(
          result.requests >= result.expected &&
            result.requests <= result.expected + result.unpublished,
          `Reported ${result.requests} of ${result.expected}, ${result.unpublished} unpublished`,
        );
        sums.requests += result.requests;
        sums.adjusted += result.adjusted;
        sums.recorded += result.expected + result.unpublished;
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
    `${sums.requests} of ${sums.recorded} requests reported, ${sums.adjusted} as adjustments`,
  );
  t.true(sums.adjusted > 0);
});

test("an outage of several windows delays reports but loses none", async (t) => {
  const clock = new ManualClock();
  const state = createPlatformState({ clock });
  const bus = new FactBus({ clock, delayMilliseconds: 50 });
  const node = new UsageNode(
    new ControlNode({ name: "node-1", clock, state }),
    bus.join("node-1"),
  );
  const initialFate = node.node.chooseBehaviour;
  node.node.chooseBehaviour = () => ({
    kind: "refused",
    requestDelayMilliseconds: 0,
    responseDelayMilliseconds: 0,
  });
  for (let window = 0; window < 5; window++) {
    node.recordRequests("school", 1);
    await clock.advance(USAGE_WINDOW_MILLISECONDS);
  }
  t.is(state.usageReports.received().length, 0);
  node.node.chooseBehaviour = initialFate;
  await clock.advance(4 * USAGE_WINDOW_MILLISECONDS);
  t.deepEqual(
    state.usageReports.received().map(({ report }) => report.figures.requests),
    [1, 1, 1, 1, 1],
  );
});
