import test, { type ExecutionContext } from "ava";
import type { Sample } from "../../generated/snipepath/v1/records_pb.ts";
import { generateToken } from "../../stand_ins/engine/generated_text.ts";
import type { StartedEngine } from "../../stand_ins/engine/start_engine.ts";
import { startEngine } from "../../stand_ins/engine/start_engine.ts";
import {
  type EngineSet,
  SERVICE,
  startEngineSet,
} from "../../stand_ins/steps/engine_set.ts";
import { startSingleNode } from "../../stand_ins/steps/single_node.ts";
import { getOldestVersion } from "./sample_staleness.ts";
import type { PullAnswer } from "./step_pull.ts";
import type { StepService } from "./step_service.ts";

const SEED = 5;
const GROUPS = 3;
const SAMPLES_PER_GROUP = 4;
const WANTED = GROUPS * SAMPLES_PER_GROUP;
const MAXIMUM_TOKENS = 60;
const MAXIMUM_PULLS = 60;
const ENGINE = {
  batchSlots: 4,
  tokensPerSecond: 60,
  eventMilliseconds: 20,
  swapMilliseconds: 20,
  loadLagMilliseconds: 50,
};

interface Scene {
  readonly set: EngineSet;
  readonly steps: StepService;
  readonly engines: ReadonlyArray<StartedEngine>;
}

interface RealCase {
  readonly title: string;
  readonly boundVersions: number;
  /** Begins once the first samples have tokens; returns the newest version. */
  readonly fault: (scene: Scene) => Promise<number>;
  readonly check?: (
    t: ExecutionContext,
    samples: ReadonlyArray<Sample>,
  ) => void;
}

async function loadVersion(
  scene: Scene,
  engine: StartedEngine,
  version: number,
): Promise<void> {
  await scene.set.engineClient.loadVersion(engine.address, {
    version,
    location: `weights/${version}`,
    fencingNumber: 1,
    idempotencyKey: `load-${version}-${engine.startIdentity}`,
  }, { signal: scene.set.context.stopping, silenceMilliseconds: 2000 });
}

async function publish(scene: Scene, version: number): Promise<void> {
  await scene.steps.publish({
    trainer: "dots",
    service: SERVICE,
    version,
    location: `weights/${version}`,
  });
}

const CASES: ReadonlyArray<RealCase> = [
  {
    title: "versions change in the middle of streams",
    boundVersions: 1,
    fault: async (scene) => {
      for (const engine of scene.engines) await loadVersion(scene, engine, 2);
      return 1;
    },
    check: (t, samples) => {
      t.true(samples.some((sample) => sample.stretches.length > 1));
    },
  },
  {
    title: "an engine ends in the middle of streams and others go on",
    boundVersions: 1,
    fault: async (scene) => {
      const [first, ...others] = scene.engines;
      for (const engine of others) await loadVersion(scene, engine, 2);
      await first?.close();
      return 1;
    },
    check: (t, samples) => {
      t.true(samples.some((sample) => sample.stretches.length > 1));
    },
  },
  {
    title: "a swap is reported done but failed",
    boundVersions: 0,
    fault: async (scene) => {
      scene.engines[0]?.behave({ failsSwapsSilently: true });
      await publish(scene, 2);
      for (const engine of scene.engines) await loadVersion(scene, engine, 2);
      return 2;
    },
  },
  {
    title: "an engine restarts at the same address with older weights",
    boundVersions: 0,
    fault: async (scene) => {
      const [first] = scene.engines;
      await publish(scene, 2);
      for (const engine of scene.engines) await loadVersion(scene, engine, 2);
      if (first === undefined) return 2;
      await first.close();
      const port = Number(first.address.split(":")[1]);
      const again = await startEngine({ ...ENGINE, port, seed: SEED });
      scene.set.addEngine(again);
      return 2;
    },
  },
  {
    title: "an engine is slow and second runs go on from its tokens",
    boundVersions: 1,
    fault: async (scene) => {
      scene.engines[0]?.behave({ slowFactor: 8 });
      return await Promise.resolve(1);
    },
  },
];

async function pull(
  steps: StepService,
  cursor: string,
  newestVersion: number,
): Promise<PullAnswer | undefined> {
  const answers: PullAnswer[] = [];
  await steps.pull({
    trainer: "dots",
    step: "17",
    cursor,
    maximum: 3,
    waitMilliseconds: 1000,
    newestVersion,
    signal: new AbortController().signal,
  }, (answer) => answers.push(answer));
  return answers[0];
}

function isTrue(sample: Sample): boolean {
  const prompt = `prompt ${sample.group}`;
  let position = 0;
  let text = "";
  for (const { weightVersion, tokens } of sample.stretches) {
    for (let token = 0; token < tokens; token += 1) {
      text += generateToken(prompt, {
        seed: SEED,
        position,
        weightVersion: Number(weightVersion),
      });
      position += 1;
    }
  }
  return text === sample.text && position === MAXIMUM_TOKENS;
}

for (const each of CASES) {
  test(`samples name the versions that made them when ${each.title}`, async (t) => {
    const set = await startEngineSet({
      seed: SEED,
      engines: 3,
      minimumServers: 0,
      stalenessBoundVersions: each.boundVersions,
      engine: ENGINE,
      platform: {},
    });
    t.teardown(() => set.close());
    const { steps } = startSingleNode(set, "resumedTail");
    const scene = { set, steps, engines: set.engines };
    await publish(scene, 1);
    const trainer = steps.getTrainer("dots");
    if (trainer === undefined) return t.fail("No trainer");
    const accepted = await steps.submit({
      trainer: "dots",
      step: "17",
      groups: Array.from({ length: GROUPS }, (_, group) => ({
        prompt: `prompt ${group}`,
        samples: SAMPLES_PER_GROUP,
        maximumTokens: MAXIMUM_TOKENS,
      })),
    }, trainer);
    if (accepted.kind !== "accepted") return t.fail(accepted.message);
    await set.waitForRunning(1);
    const newest = await each.fault(scene);
    const samples: Sample[] = [];
    let cursor = accepted.cursor;
    for (let pulls = 0; pulls < MAXIMUM_PULLS; pulls += 1) {
      const answer = await pull(steps, cursor, newest);
      if (answer === undefined) continue;
      cursor = answer.cursor;
      samples.push(...answer.samples);
      if (answer.held === answer.wanted) break;
    }
    t.is(samples.length, WANTED);
    t.is(new Set(samples.map((sample) => sample.index)).size, WANTED);
    t.deepEqual(samples.filter((sample) => !isTrue(sample)), []);
    t.true(
      samples.every((sample) =>
        newest - getOldestVersion(sample) <= each.boundVersions
      ),
    );
    each.check?.(t, samples);
  });
}
