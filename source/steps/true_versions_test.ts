import test, { type ExecutionContext } from "ava";
import type { Sample } from "../../generated/snipepath/v1/records_pb.ts";
import { generateToken } from "../../stand_ins/engine/generated_text.ts";
import type { StartedEngine } from "../../stand_ins/engine/start_engine.ts";
import { startEngine } from "../../stand_ins/engine/start_engine.ts";
import {
  ENGINE_SET_SERVICE,
  type EngineSet,
  startEngineSet,
} from "../../stand_ins/steps/engine_set.ts";
import { startSingleNode } from "../../stand_ins/steps/single_node.ts";
import { getOldestVersion } from "./sample_staleness.ts";
import type { PullResponse } from "./step_pull_handler.ts";
import type { StepService } from "./step_service.ts";

const SEED = 5;
const GROUPS = 3;
const SAMPLES_PER_GROUP = 4;
const WANTED = GROUPS * SAMPLES_PER_GROUP;
/** Makes texts that last longer than the orders to the engines take. */
const MAXIMUM_TOKENS = 180;
const MAXIMUM_PULLS = 60;
const ENGINE = {
  batchSlots: 4,
  tokensPerSecond: 60,
  eventMilliseconds: 20,
  swapMilliseconds: 20,
  loadLagMilliseconds: 50,
};

interface Fixture {
  readonly set: EngineSet;
  readonly steps: StepService;
  readonly engines: ReadonlyArray<StartedEngine>;
}

interface EngineFaultCase {
  readonly title: string;
  readonly boundVersions: number;
  /** Injects the fault once the first samples have tokens; returns the newest weight version. */
  readonly fault: (fixture: Fixture) => Promise<number>;
  readonly check?: (
    t: ExecutionContext,
    samples: ReadonlyArray<Sample>,
  ) => void;
}

async function loadVersion(
  fixture: Fixture,
  engine: StartedEngine,
  version: number,
): Promise<void> {
  await fixture.set.engineClient.loadVersion(engine.address, {
    version,
    location: `weights/${version}`,
    fencingNumber: 1,
    idempotencyKey: `load-${version}-${engine.startIdentity}`,
  }, { signal: fixture.set.context.stopping, silenceMilliseconds: 2000 });
}

async function publish(fixture: Fixture, version: number): Promise<void> {
  await fixture.steps.publish({
    trainer: "dots",
    service: ENGINE_SET_SERVICE,
    version,
    location: `weights/${version}`,
  });
}

const CASES: ReadonlyArray<EngineFaultCase> = [
  {
    title: "engines swap weights during streams",
    boundVersions: 1,
    fault: async (fixture) => {
      for (const engine of fixture.engines) {
        await loadVersion(fixture, engine, 2);
      }
      return 1;
    },
    check: (t, samples) => {
      t.true(samples.some((sample) => sample.stretches.length > 1));
    },
  },
  {
    title: "an engine stops during streams and other engines resume them",
    boundVersions: 1,
    fault: async (fixture) => {
      const [first, ...others] = fixture.engines;
      for (const engine of others) await loadVersion(fixture, engine, 2);
      await first?.close();
      return 1;
    },
    check: (t, samples) => {
      t.true(samples.some((sample) => sample.stretches.length > 1));
    },
  },
  {
    title: "an engine reports a failed swap as done",
    boundVersions: 0,
    fault: async (fixture) => {
      fixture.engines[0]?.changeBehaviour({ failsSwapsSilently: true });
      await publish(fixture, 2);
      for (const engine of fixture.engines) {
        await loadVersion(fixture, engine, 2);
      }
      return 2;
    },
  },
  {
    title: "an engine restarts at the same address with older weights",
    boundVersions: 0,
    fault: async (fixture) => {
      const [first] = fixture.engines;
      await publish(fixture, 2);
      for (const engine of fixture.engines) {
        await loadVersion(fixture, engine, 2);
      }
      if (first === undefined) return 2;
      await first.close();
      const port = Number(first.address.split(":")[1]);
      const again = await startEngine({ ...ENGINE, port, seed: SEED });
      fixture.set.closeWithSet(again);
      return 2;
    },
  },
  {
    title: "an engine is slow and second runs resume from its tokens",
    boundVersions: 1,
    fault: async (fixture) => {
      fixture.engines[0]?.changeBehaviour({ slowFactor: 8 });
      return await Promise.resolve(1);
    },
  },
];

async function pull(
  steps: StepService,
  cursor: string,
  newestVersion: number,
): Promise<PullResponse | undefined> {
  const responses: PullResponse[] = [];
  await steps.pull({
    trainer: "dots",
    step: "17",
    cursor,
    maximum: 3,
    waitMilliseconds: 1000,
    newestVersion,
    signal: new AbortController().signal,
  }, (response) => responses.push(response));
  return responses[0];
}

function hasCorrectVersions(sample: Sample): boolean {
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
  test(`samples state the weight versions that generated them when ${each.title}`, async (t) => {
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
    const fixture = { set, steps, engines: set.engines };
    await publish(fixture, 1);
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
    const newest = await each.fault(fixture);
    const samples: Sample[] = [];
    let cursor = accepted.cursor;
    for (let pulls = 0; pulls < MAXIMUM_PULLS; pulls += 1) {
      const response = await pull(steps, cursor, newest);
      if (response === undefined) continue;
      cursor = response.cursor;
      samples.push(...response.samples);
      if (response.held === response.wanted) break;
    }
    t.is(samples.length, WANTED);
    t.is(new Set(samples.map((sample) => sample.index)).size, WANTED);
    t.deepEqual(samples.filter((sample) => !hasCorrectVersions(sample)), []);
    t.true(
      samples.every((sample) =>
        newest - getOldestVersion(sample) <= each.boundVersions
      ),
    );
    each.check?.(t, samples);
  });
}
