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

interface RolloutSimulation {
  readonly clock: ManualClock;
  readonly engines: FakeWeightEngines;
  readonly nodes: ReadonlyArray<ControlNode>;
  readonly rollouts: ReadonlyArray<WeightRollout>;
  readonly publish: (version: number, trainer?: string) => void;
  /** Advances the clock until all engines run a version; returns whether all did within 120 s. */
  readonly waitForVersion: (version: number) => Promise<boolean>;
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

function startSimulation(t: ExecutionContext): RolloutSimulation {
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
    waitForVersion: async (version) => {
      const limit = clock.monotonic() + LIMIT_MILLISECONDS;
      while (clock.monotonic() < limit) {
        if (engines.haveAllLoaded(version)) return true;
        await clock.advance(STEP_MILLISECONDS);
      }
      return false;
    },
  };
}

function getEngine(
  simulation: RolloutSimulation,
  position: number,
): FakeWeightEngine {
  const engine = simulation.engines.engines[position];
  if (engine === undefined) throw new Error(`No engine ${position}`);
  return engine;
}

type Fault = (simulation: RolloutSimulation) => Promise<void>;

const FAULTS: Readonly<Record<string, Fault>> = {
  "no fault": () => Promise.resolve(),
  "one engine fails its loads for a while": async (simulation) => {
    getEngine(simulation, 0).fault = "fails";
    await simulation.clock.advance(5000);
    getEngine(simulation, 0).fault = "none";
  },
  "one engine confirms loads without loading": async (simulation) => {
    getEngine(simulation, 1).fault = "liesDone";
    await simulation.clock.advance(5000);
    getEngine(simulation, 1).fault = "none";
  },
  "responses of one engine are lost": async (simulation) => {
    getEngine(simulation, 2).fault = "losesAnswer";
    await simulation.clock.advance(4000);
    getEngine(simulation, 2).fault = "none";
  },
  "orders to one engine are lost": async (simulation) => {
    getEngine(simulation, 2).fault = "losesOrder";
    await simulation.clock.advance(4000);
    getEngine(simulation, 2).fault = "none";
  },
  "an engine restarts with its first version": async (simulation) => {
    await simulation.clock.advance(1500);
    simulation.engines.restart(getEngine(simulation, 0), 1);
  },
  "an engine is unreachable for a while": async (simulation) => {
    getEngine(simulation, 3).isReachable = false;
    await simulation.clock.advance(3000);
    getEngine(simulation, 3).isReachable = true;
  },
  "the holder is killed": async (simulation) => {
    await simulation.clock.advance(300);
    findHolder(simulation)?.kill();
  },
  "the holder is stopped past its lease": async (simulation) => {
    await simulation.clock.advance(300);
    const resumed = findHolder(simulation)?.clock.stop({
      milliseconds: 6000,
      haltsMonotonic: false,
    });
    await simulation.clock.advance(7000);
    await resumed;
  },
  "another version is published during the rollout": async (simulation) => {
    await simulation.clock.advance(700);
    simulation.publish(2, "maths");
  },
};

function findHolder(simulation: RolloutSimulation): ControlNode | undefined {
  const position = simulation.rollouts.findIndex((rollout, at) =>
    rollout.lease.getHeldLease() !== undefined &&
    simulation.nodes[at]?.clock.isStopped === false
  );
  return simulation.nodes[position];
}

function findOutOfOrderOrders(
  simulation: RolloutSimulation,
): ReadonlyArray<string> {
  let highest = 0;
  const outOfOrder: string[] = [];
  for (const order of simulation.engines.received) {
    if (order.fencingNumber < highest) outOfOrder.push(order.idempotencyKey);
    highest = Math.max(highest, order.fencingNumber);
  }
  return outOfOrder;
}

const NAMES = Object.keys(FAULTS);
const PAIRS = NAMES.flatMap((first) => NAMES.map((second) => [first, second]));

for (const [first = "", second = ""] of PAIRS) {
  const title = first === second ? `${first}, twice` : `${first}, ${second}`;
  test(`all engines load the newest version: ${title}`, async (t) => {
    const simulation = startSimulation(t);
    for (const engine of simulation.engines.engines.slice(4)) {
      engine.checksFencing = false;
    }
    await simulation.clock.advance(6000);
    simulation.publish(3);
    await FAULTS[first]?.(simulation);
    const wouldKillAllNodes = first.includes("killed") && first === second;
    if (!wouldKillAllNodes) await FAULTS[second]?.(simulation);
    t.true(await simulation.waitForVersion(3));
    t.deepEqual(findOutOfOrderOrders(simulation), []);
  });
}

test("engines that a publication made too stale are loaded below the minimum of serving engines", async (t) => {
  const simulation = startSimulation(t);
  await simulation.clock.advance(6000);
  simulation.publish(3);
  t.true(await simulation.waitForVersion(3));
  t.true(simulation.engines.maximumConcurrentLoads >= 2);
  t.true(simulation.engines.maximumConcurrentLoads <= ENGINES);
});
