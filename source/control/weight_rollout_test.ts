import { create } from "@bufbuild/protobuf";
import test, { type ExecutionContext } from "ava";
import {
  type ConfigurationRecord,
  ConfigurationRecordSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import { ControlNode } from "../../stand_ins/control/control_node.ts";
import { createPlatformState } from "../../stand_ins/platform/platform_state.ts";
import {
  type FakeWeightEngine,
  FakeWeightEngines,
} from "../../stand_ins/steps/fake_weight_engines.ts";
import type { PublishedVersion } from "../steps/weight_versions.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { WeightRollout } from "./weight_rollout.ts";

const ENGINES = 8;
const LIMIT_MILLISECONDS = 120_000;
const STEP_MILLISECONDS = 50;

interface Bench {
  readonly clock: ManualClock;
  readonly engines: FakeWeightEngines;
  readonly nodes: ReadonlyArray<ControlNode>;
  readonly rollouts: ReadonlyArray<WeightRollout>;
  readonly publish: (version: number, trainer?: string) => void;
  /** Moves on until all engines run a version; returns whether they did in time. */
  readonly reach: (version: number) => Promise<boolean>;
}

function createConfiguration(): ConfigurationRecord {
  return create(ConfigurationRecordSchema, {
    revision: 1n,
    declaration: {
      services: [{ name: "dot-models", minimumServers: 3 }],
      trainers: [
        { name: "dots", service: "dot-models", stalenessBoundVersions: 1 },
        { name: "maths", service: "dot-models", stalenessBoundVersions: 0 },
      ],
    },
  });
}

function startBench(t: ExecutionContext): Bench {
  const clock = new ManualClock();
  const state = createPlatformState({ clock });
  const engines = new FakeWeightEngines({
    clock,
    engines: ENGINES,
    loadsPerSecond: 4,
    lagMilliseconds: 500,
  });
  const record = createConfiguration();
  const versions: PublishedVersion[] = [];
  const nodes = ["node-1", "node-2"].map((name, seed) =>
    new ControlNode({ name, clock, state, seed })
  );
  const rollouts = nodes.map((node) =>
    new WeightRollout({
      context: node.context,
      configuration: {
        current: () => record,
        adopt: () => {},
        watch: () => () => {},
      },
      engines,
      servers: engines,
      versions: { all: () => versions },
      service: "dot-models",
    })
  );
  for (const rollout of rollouts) void rollout.run();
  t.teardown(() => nodes.forEach((node) => node.terminate()));
  return {
    clock,
    engines,
    nodes,
    rollouts,
    publish: (version, trainer = "dots") => {
      versions.unshift({
        trainer,
        service: "dot-models",
        version,
        location: `weights/${version}`,
      });
    },
    reach: async (version) => {
      const until = clock.monotonic() + LIMIT_MILLISECONDS;
      while (clock.monotonic() < until) {
        if (engines.haveAll(version)) return true;
        await clock.advance(STEP_MILLISECONDS);
      }
      return false;
    },
  };
}

function engineAt(bench: Bench, position: number): FakeWeightEngine {
  const engine = bench.engines.engines[position];
  if (engine === undefined) throw new Error(`No engine ${position}`);
  return engine;
}

type Fault = (bench: Bench) => Promise<void>;

const FAULTS: Readonly<Record<string, Fault>> = {
  "no fault": () => Promise.resolve(),
  "one engine fails its loads for a while": async (bench) => {
    engineAt(bench, 0).fault = "fails";
    await bench.clock.advance(5000);
    engineAt(bench, 0).fault = "none";
  },
  "one engine says done without loading": async (bench) => {
    engineAt(bench, 1).fault = "liesDone";
    await bench.clock.advance(5000);
    engineAt(bench, 1).fault = "none";
  },
  "answers of one engine are lost": async (bench) => {
    engineAt(bench, 2).fault = "losesAnswer";
    await bench.clock.advance(4000);
    engineAt(bench, 2).fault = "none";
  },
  "orders to one engine are lost": async (bench) => {
    engineAt(bench, 2).fault = "losesOrder";
    await bench.clock.advance(4000);
    engineAt(bench, 2).fault = "none";
  },
  "an engine restarts with its first version": async (bench) => {
    await bench.clock.advance(1500);
    bench.engines.restart(engineAt(bench, 0), 1);
  },
  "an engine is unreachable for a while": async (bench) => {
    engineAt(bench, 3).isReachable = false;
    await bench.clock.advance(3000);
    engineAt(bench, 3).isReachable = true;
  },
  "the holder is killed": async (bench) => {
    await bench.clock.advance(300);
    holderOf(bench)?.kill();
  },
  "the holder is stopped past its lease": async (bench) => {
    await bench.clock.advance(300);
    const stopped = holderOf(bench)?.clock.stop({
      milliseconds: 6000,
      haltsMonotonic: false,
    });
    await bench.clock.advance(7000);
    await stopped;
  },
  "a further version in the middle": async (bench) => {
    await bench.clock.advance(700);
    bench.publish(2, "maths");
  },
};

function holderOf(bench: Bench): ControlNode | undefined {
  const position = bench.rollouts.findIndex((rollout, at) =>
    rollout.lease.ifHeld() !== undefined &&
    bench.nodes[at]?.clock.isStopped === false
  );
  return bench.nodes[position];
}

function findCrossedOrders(bench: Bench): ReadonlyArray<string> {
  let highest = 0;
  const crossed: string[] = [];
  for (const order of bench.engines.received) {
    if (order.fencingNumber < highest) crossed.push(order.idempotencyKey);
    highest = Math.max(highest, order.fencingNumber);
  }
  return crossed;
}

const NAMES = Object.keys(FAULTS);
const PAIRS = NAMES.flatMap((first) => NAMES.map((second) => [first, second]));

for (const [first = "", second = ""] of PAIRS) {
  const title = first === second ? `${first}, twice` : `${first}, ${second}`;
  test(`all engines load the newest version: ${title}`, async (t) => {
    const bench = startBench(t);
    for (const engine of bench.engines.engines.slice(4)) {
      engine.checksFencing = false;
    }
    await bench.clock.advance(6000);
    bench.publish(3);
    await FAULTS[first]?.(bench);
    const leavesNoNode = first.includes("killed") && first === second;
    if (!leavesNoNode) await FAULTS[second]?.(bench);
    t.true(await bench.reach(3));
    t.deepEqual(findCrossedOrders(bench), []);
  });
}

test("engines that a publication made useless are loaded beyond the serving floor", async (t) => {
  const bench = startBench(t);
  await bench.clock.advance(6000);
  bench.publish(3);
  t.true(await bench.reach(3));
  t.true(bench.engines.mostAtOnce >= 2);
  t.true(bench.engines.mostAtOnce <= ENGINES);
});
