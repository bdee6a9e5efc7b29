import test from "ava";
import fc from "fast-check";
import {
  type FakeNode,
  FakeNodeGroup,
} from "../../stand_ins/steps/fake_node_group.ts";
import { FakeTrainer } from "../../stand_ins/steps/fake_trainer.ts";

const GROUPS = 6;
const SAMPLES_PER_GROUP = 8;
const WANTED = GROUPS * SAMPLES_PER_GROUP;
const MAXIMUM_TOKENS = 40;

const CLEAN = {
  delivered: WANTED,
  lost: 0,
  doubled: 0,
  tooOld: 0,
  wrongVersions: 0,
  contradictions: 0,
};

interface Scene {
  readonly group: FakeNodeGroup;
  readonly trainer: FakeTrainer;
  readonly wait: (milliseconds: number) => Promise<void>;
}

type Fault = (scene: Scene) => Promise<void>;

interface FaultCase {
  readonly title: string;
  readonly fault: Fault;
  readonly losesAnswer?: (pull: number) => boolean;
  readonly pauseMilliseconds?: number;
}

function nodeAt(group: FakeNodeGroup, position: number): FakeNode {
  const node = group.nodes[position % group.nodes.length];
  if (node === undefined) throw new Error("The group has no nodes");
  return node;
}

function liveNode(group: FakeNodeGroup, position: number): FakeNode {
  const live = group.nodes.filter((node) => node.isAlive);
  return live[position % live.length] ?? nodeAt(group, 0);
}

async function publishNext({ group, trainer }: Scene): Promise<void> {
  const version = trainer.publishedVersion + 1;
  const isPublished = await trainer.publish(version, liveNode(group, 1));
  if (isPublished) group.pool.loadEverywhere(version);
}

async function killOwner(scene: Scene): Promise<void> {
  const owner = scene.group.nodes.find((node) => node.isAlive);
  if (owner !== undefined) scene.group.kill(owner);
}

function setTables(group: FakeNodeGroup, fault: "none" | "down"): void {
  for (const node of group.nodes) node.platform.tableFault = fault;
}

function setObjects(group: FakeNodeGroup, fault: "none" | "down"): void {
  for (const node of group.nodes) node.platform.objectFault = fault;
}

const FAULTS: ReadonlyArray<FaultCase> = [
  { title: "no fault", fault: () => Promise.resolve() },
  {
    title: "publication between completion and pull",
    fault: publishNext,
    pauseMilliseconds: 400,
  },
  {
    title: "slow trainer over three publications",
    fault: async (scene) => {
      for (let time = 0; time < 3; time += 1) {
        await publishNext(scene);
        await scene.wait(900);
      }
    },
    pauseMilliseconds: 1500,
  },
  { title: "owner killed", fault: killOwner },
  {
    title: "owner killed while the table and the object store are down",
    fault: async (scene) => {
      setTables(scene.group, "down");
      setObjects(scene.group, "down");
      await scene.wait(100);
      await killOwner(scene);
      await scene.wait(8000);
    },
    losesAnswer: (pull) => pull % 4 === 0,
  },
  {
    title: "late samples of a killed owner",
    fault: async (scene) => {
      await killOwner(scene);
      await publishNext(scene);
      await publishNext(scene);
    },
  },
  {
    title: "every third answer lost",
    fault: () => Promise.resolve(),
    losesAnswer: (pull) => pull % 3 === 0,
  },
  {
    title: "two nodes own the step",
    fault: async ({ group, wait }) => {
      nodeAt(group, 0).isCutOff = true;
      await wait(4000);
      nodeAt(group, 0).isCutOff = false;
    },
  },
  {
    title: "table down across the whole step",
    fault: async ({ group, wait }) => {
      setTables(group, "down");
      await wait(6000);
    },
  },
  {
    title: "publications while the owner is cut off from its peers",
    fault: async (scene) => {
      const { group, trainer, wait } = scene;
      const owner = liveNode(group, 0);
      owner.isCutOff = true;
      await trainer.publish(trainer.publishedVersion + 1, liveNode(group, 1));
      await trainer.publish(trainer.publishedVersion + 1, liveNode(group, 1));
      group.pool.loadEverywhere(trainer.publishedVersion);
      await wait(1000);
      owner.isCutOff = false;
    },
    pauseMilliseconds: 300,
  },
  {
    title: "object store down",
    fault: async ({ group, wait }) => {
      setObjects(group, "down");
      await wait(3000);
      setObjects(group, "none");
    },
  },
  {
    title: "version changes in the middle of runs, on one engine after another",
    fault: async ({ group, trainer, wait }) => {
      await trainer.publish(2, liveNode(group, 2));
      for (const engine of group.pool.engines) {
        engine.version = 2;
        engine.reportedVersion = 2;
        await wait(70);
      }
    },
  },
  {
    title: "engine restarts at the same address",
    fault: async ({ group, wait }) => {
      const engine = group.pool.engines[0];
      if (engine === undefined) return;
      await wait(60);
      engine.start = "engine-0-start-2";
    },
  },
  {
    title: "swap reported done but failed",
    fault: async ({ group, trainer, wait }) => {
      await trainer.publish(2, liveNode(group, 1));
      await trainer.publish(3, liveNode(group, 1));
      group.pool.loadEverywhere(3);
      const engine = group.pool.engines[0];
      if (engine !== undefined) engine.version = 1;
      await wait(5000);
    },
  },
  {
    title: "engine hides its versions for a while",
    fault: async ({ group, wait }) => {
      const engine = group.pool.engines[0];
      if (engine === undefined) return;
      engine.fault = "hideVersions";
      await wait(1000);
      engine.fault = "none";
    },
  },
  {
    title: "engine crashes and comes back",
    fault: async ({ group, wait }) => {
      const engine = group.pool.engines[1];
      if (engine === undefined) return;
      engine.fault = "crash";
      await wait(1000);
      engine.fault = "none";
    },
  },
];

// Two nodes killed at once while the platform is down take the only copies of the manifest along,
// so that the step can go on only when the table is back.
const PLATFORM_RETURNS: FaultCase = {
  title: "the platform returns",
  fault: async ({ group, wait }) => {
    await wait(10_000);
    setTables(group, "none");
    setObjects(group, "none");
  },
};

async function runStep(
  faults: ReadonlyArray<FaultCase>,
  options: { readonly seed: number; readonly statesVersion: boolean },
): Promise<unknown> {
  const group = new FakeNodeGroup({
    nodes: 4,
    engines: 3,
    seed: options.seed,
    stalenessBoundVersions: 1,
  });
  const trainer = new FakeTrainer({
    group,
    boundVersions: 1,
    statesVersion: options.statesVersion,
    pauseMilliseconds: Math.max(
      ...faults.map((each) => each.pauseMilliseconds ?? 30),
    ),
    maximum: 5,
    chooseNode: (pull) => liveNode(group, pull - 1),
    losesAnswer: (pull) =>
      faults.some((each) => each.losesAnswer?.(pull) ?? false),
  });
  const wait = (milliseconds: number): Promise<void> =>
    group.clock.sleep(milliseconds);
  await group.drive(trainer.publish(1, nodeAt(group, 0)));
  await group.drive(trainer.submit({
    trainer: "dots",
    step: "17",
    groups: Array.from({ length: GROUPS }, (_, position) => ({
      prompt: `prompt ${position}`,
      samples: SAMPLES_PER_GROUP,
      maximumTokens: MAXIMUM_TOKENS,
    })),
  }));
  const scene = { group, trainer, wait };
  const isWhole = await group.drive(
    Promise.all([trainer.pullAll(), injectInTurn(faults, scene)])
      .then(([result]) => result),
  );
  group.close();
  return { isWhole, ...trainer.findings() };
}

async function injectInTurn(
  faults: ReadonlyArray<FaultCase>,
  scene: Scene,
): Promise<void> {
  for (const { fault } of faults) {
    await scene.wait(150);
    await fault(scene);
  }
}

for (const [position, each] of FAULTS.entries()) {
  for (const statesVersion of [true, false]) {
    const isOutage = each.title.includes("table down") ||
      each.title.includes("while the table");
    if (isOutage && !statesVersion) continue;
    const suffix = statesVersion ? "stated" : "read from the table";
    test(`a step is whole under: ${each.title}; version ${suffix}`, async (t) => {
      const seen = await runStep([each], { seed: position, statesVersion });
      t.deepEqual(seen, { isWhole: true, ...CLEAN });
    });
  }
  test(`a step is whole under the same twice: ${each.title}`, async (t) => {
    const seen = await runStep([each, each], {
      seed: position,
      statesVersion: true,
    });
    t.deepEqual(seen, { isWhole: true, ...CLEAN });
  });
}

test("a step is whole under every pair of faults", async (t) => {
  const failures: unknown[] = [];
  for (const [position, first] of FAULTS.entries()) {
    for (const second of FAULTS.slice(position + 1)) {
      const seen = await runStep([first, second, PLATFORM_RETURNS], {
        seed: position,
        statesVersion: true,
      });
      const wanted = JSON.stringify({ isWhole: true, ...CLEAN });
      if (JSON.stringify(seen) === wanted) continue;
      failures.push({ first: first.title, second: second.title, seen });
    }
  }
  t.deepEqual(failures, []);
});

test("a step is whole under random faults", async (t) => {
  const schedule = fc.record({
    faults: fc.array(fc.constantFrom(...FAULTS), {
      minLength: 1,
      maxLength: 4,
    }),
    seed: fc.nat(10_000),
  });
  await fc.assert(
    fc.asyncProperty(schedule, async ({ faults, seed }) => {
      const kills = faults.filter((each) => each.title.includes("kill"));
      fc.pre(kills.length <= 2);
      const seen = await runStep([...faults, PLATFORM_RETURNS], {
        seed,
        statesVersion: true,
      });
      t.deepEqual(seen, { isWhole: true, ...CLEAN });
    }),
    { seed: 20_261_203, numRuns: 40, endOnFailure: true },
  );
});
