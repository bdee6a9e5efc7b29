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

const NO_FINDINGS = {
  delivered: WANTED,
  lost: 0,
  doubled: 0,
  tooOld: 0,
  wrongVersions: 0,
  contradictions: 0,
};

interface Fixture {
  readonly group: FakeNodeGroup;
  readonly trainer: FakeTrainer;
  readonly wait: (milliseconds: number) => Promise<void>;
}

type Fault = (fixture: Fixture) => Promise<void>;

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

async function publishNext({ group, trainer }: Fixture): Promise<void> {
  const version = trainer.publishedVersion + 1;
  const isPublished = await trainer.publish(version, liveNode(group, 1));
  if (isPublished) group.pool.loadEverywhere(version);
}

async function killOwner(fixture: Fixture): Promise<void> {
  const owner = fixture.group.nodes.find((node) => node.isAlive);
  if (owner !== undefined) fixture.group.kill(owner);
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
    fault: async (fixture) => {
      for (let time = 0; time < 3; time += 1) {
        await publishNext(fixture);
        await fixture.wait(900);
      }
    },
    pauseMilliseconds: 1500,
  },
  { title: "owner killed", fault: killOwner },
  {
    title: "owner killed while the table and the object store are down",
    fault: async (fixture) => {
      setTables(fixture.group, "down");
      setObjects(fixture.group, "down");
      await fixture.wait(100);
      await killOwner(fixture);
      await fixture.wait(8000);
    },
    losesAnswer: (pull) => pull % 4 === 0,
  },
  {
    title: "late samples of a killed owner",
    fault: async (fixture) => {
      await killOwner(fixture);
      await publishNext(fixture);
      await publishNext(fixture);
    },
  },
  {
    title: "every third response lost",
    fault: () => Promise.resolve(),
    losesAnswer: (pull) => pull % 3 === 0,
  },
  {
    title: "two nodes own the step",
    fault: async ({ group, wait }) => {
      nodeAt(group, 0).isPartitioned = true;
      await wait(4000);
      nodeAt(group, 0).isPartitioned = false;
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
    fault: async (fixture) => {
      const { group, trainer, wait } = fixture;
      const owner = liveNode(group, 0);
      owner.isPartitioned = true;
      await trainer.publish(trainer.publishedVersion + 1, liveNode(group, 1));
      await trainer.publish(trainer.publishedVersion + 1, liveNode(group, 1));
      group.pool.loadEverywhere(trainer.publishedVersion);
      await wait(1000);
      owner.isPartitioned = false;
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
    title: "version changes during runs, on one engine after another",
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
    title: "engine omits its versions for a while",
    fault: async ({ group, wait }) => {
      const engine = group.pool.engines[0];
      if (engine === undefined) return;
      engine.fault = "hideVersions";
      await wait(1000);
      engine.fault = "none";
    },
  },
  {
    title: "engine crashes and recovers",
    fault: async ({ group, wait }) => {
      const engine = group.pool.engines[1];
      if (engine === undefined) return;
      engine.fault = "crash";
      await wait(1000);
      engine.fault = "none";
    },
  },
];

// Two nodes that are killed together while the platform is down may hold the only copies of the
// manifest, so that the step can only continue once the table is available again.
const PLATFORM_RECOVERS: FaultCase = {
  title: "the platform recovers",
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
  await group.runUntilDone(trainer.publish(1, nodeAt(group, 0)));
  await group.runUntilDone(trainer.submit({
    trainer: "dots",
    step: "17",
    groups: Array.from({ length: GROUPS }, (_, position) => ({
      prompt: `prompt ${position}`,
      samples: SAMPLES_PER_GROUP,
      maximumTokens: MAXIMUM_TOKENS,
    })),
  }));
  const fixture = { group, trainer, wait };
  const isComplete = await group.runUntilDone(
    Promise.all([trainer.pullAll(), injectInSequence(faults, fixture)])
      .then(([result]) => result),
  );
  group.close();
  return { isComplete, ...trainer.findings() };
}

async function injectInSequence(
  faults: ReadonlyArray<FaultCase>,
  fixture: Fixture,
): Promise<void> {
  for (const { fault } of faults) {
    await fixture.wait(150);
    await fault(fixture);
  }
}

for (const [position, each] of FAULTS.entries()) {
  for (const statesVersion of [true, false]) {
    const isOutage = each.title.includes("table down") ||
      each.title.includes("while the table");
    if (isOutage && !statesVersion) continue;
    const suffix = statesVersion ? "stated" : "read from the table";
    test(`a step completes under: ${each.title}; version ${suffix}`, async (t) => {
      const outcome = await runStep([each], { seed: position, statesVersion });
      t.deepEqual(outcome, { isComplete: true, ...NO_FINDINGS });
    });
  }
  test(`a step completes under the same fault twice: ${each.title}`, async (t) => {
    const outcome = await runStep([each, each], {
      seed: position,
      statesVersion: true,
    });
    t.deepEqual(outcome, { isComplete: true, ...NO_FINDINGS });
  });
}

test("a step completes under every pair of faults", async (t) => {
  const failures: unknown[] = [];
  for (const [position, first] of FAULTS.entries()) {
    for (const second of FAULTS.slice(position + 1)) {
      const outcome = await runStep([first, second, PLATFORM_RECOVERS], {
        seed: position,
        statesVersion: true,
      });
      const expected = JSON.stringify({ isComplete: true, ...NO_FINDINGS });
      if (JSON.stringify(outcome) === expected) continue;
      failures.push({ first: first.title, second: second.title, outcome });
    }
  }
  t.deepEqual(failures, []);
});

test("a step completes under random faults", async (t) => {
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
      const outcome = await runStep([...faults, PLATFORM_RECOVERS], {
        seed,
        statesVersion: true,
      });
      t.deepEqual(outcome, { isComplete: true, ...NO_FINDINGS });
    }),
    { seed: 20_261_203, numRuns: 40, endOnFailure: true },
  );
});
