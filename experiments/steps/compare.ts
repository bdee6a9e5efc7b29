import { parseArgs } from "node:util";
import { getQuantile } from "../../source/decisions/quantile.ts";
import type { PullResponse } from "../../source/steps/step_pull_handler.ts";
import type { StepService } from "../../source/steps/step_service.ts";
import type { TailPolicyName } from "../../source/steps/tail_policy.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";
import type { StartedEngine } from "../../stand_ins/engine/start_engine.ts";
import {
  type EngineSet,
  startEngineSet,
} from "../../stand_ins/steps/engine_set.ts";
import { startSingleNode } from "../../stand_ins/steps/single_node.ts";

const ENGINES = 6;
const BATCH_SLOTS = 4;
const GROUPS = 12;
const SAMPLES_PER_GROUP = 8;
const MAXIMUM_TOKENS = 60;
const TOKENS_PER_SECOND = 100;
const STEPS = 6;
const SLOW_FACTOR = 6;
const TRAINING_MILLISECONDS_PER_GROUP = 30;
const STEP_LIMIT_MILLISECONDS = 30_000;
const PULL_WAIT_MILLISECONDS = 1000;

type FaultName = "none" | "slowEngine" | "frozenEngine";

type InjectFault = (
  engine: StartedEngine,
  random: RandomSource,
) => Promise<() => void>;

const FAULTS: Readonly<Record<FaultName, InjectFault>> = {
  none: () => Promise.resolve(() => {}),
  slowEngine: (engine) => {
    engine.changeBehaviour({ slowFactor: SLOW_FACTOR });
    return Promise.resolve(() => engine.changeBehaviour({ slowFactor: 1 }));
  },
  frozenEngine: async (engine, random) => {
    await sleep(300 + random.nextBelow(600));
    engine.faults.set({
      path: "/v1/completions",
      fault: "freeze",
      milliseconds: 0,
      count: 0,
      existing: true,
    });
    return () => engine.faults.clear();
  },
};

const FAULT_ORDER: ReadonlyArray<FaultName> = [
  "none",
  "slowEngine",
  "frozenEngine",
];

interface StepResult {
  readonly fault: FaultName;
  readonly milliseconds: number;
  readonly idleMilliseconds: number;
  readonly deliveredTokens: number;
}

interface PolicyResult {
  readonly policy: TailPolicyName;
  readonly steps: ReadonlyArray<StepResult>;
  readonly generatedTokens: number;
  readonly secondRuns: number;
}

async function runPolicy(
  policy: TailPolicyName,
  seed: number,
): Promise<PolicyResult> {
  const set = await startEngineSet({
    seed,
    engines: ENGINES,
    minimumServers: 0,
    stalenessBoundVersions: 1,
    engine: {
      batchSlots: BATCH_SLOTS,
      tokensPerSecond: TOKENS_PER_SECOND,
      eventMilliseconds: 20,
      loadLagMilliseconds: 300,
      variesLengths: true,
    },
    platform: {},
  });
  const { steps: service, log } = startSingleNode(set, policy);
  const random = createRandomSource(seed);
  await service.publish({
    trainer: "dots",
    service: "dot-models",
    version: 1,
    location: "weights/1",
  });
  const results: StepResult[] = [];
  for (let number = 0; number < STEPS; number += 1) {
    results.push(await runStep(set, service, { number, random }));
  }
  const ended = log.events.filter((event) => event.name === "stepEnded");
  await set.close();
  return {
    policy,
    steps: results,
    generatedTokens: sumField(ended, "generatedTokens"),
    secondRuns: sumField(ended, "secondRuns"),
  };
}

async function runStep(
  set: EngineSet,
  service: StepService,
  options: { readonly number: number; readonly random: RandomSource },
): Promise<StepResult> {
  const { number, random } = options;
  const fault = FAULT_ORDER[number % FAULT_ORDER.length] ?? "none";
  const engine = set.engines[random.nextBelow(set.engines.length)];
  const trainer = service.getTrainer("dots");
  if (trainer === undefined || engine === undefined) {
    throw new Error("The engine set has no trainer or no engine");
  }
  const startedAt = performance.now();
  const accepted = await service.submit({
    trainer: "dots",
    step: `step-${number}`,
    groups: Array.from({ length: GROUPS }, (_, group) => ({
      prompt: `prompt ${group} of step ${number} ${
        random.nextBelow(1_000_000)
      }`,
      samples: SAMPLES_PER_GROUP,
      maximumTokens: MAXIMUM_TOKENS,
    })),
  }, trainer);
  if (accepted.kind === "refused") throw new Error(accepted.message);
  const faultEnd = FAULTS[fault](engine, random);
  const simulatedTrainer = new SimulatedTrainer();
  let cursor = accepted.cursor;
  let deliveredTokens = 0;
  while (performance.now() - startedAt < STEP_LIMIT_MILLISECONDS) {
    const answer = await pull(service, `step-${number}`, cursor);
    if (answer === undefined) continue;
    cursor = answer.cursor;
    for (const sample of answer.samples) {
      deliveredTokens += sample.stretches
        .reduce((sum, stretch) => sum + stretch.tokens, 0);
      simulatedTrainer.addSample(sample.group);
    }
    if (answer.held === answer.wanted) break;
  }
  const milliseconds = performance.now() - startedAt;
  // Pulls with the final cursor, which confirms to the service that the step is complete.
  await pull(service, `step-${number}`, cursor);
  (await faultEnd)();
  await sleep(400);
  return {
    fault,
    milliseconds,
    idleMilliseconds: simulatedTrainer.getIdleMilliseconds(startedAt),
    deliveredTokens,
  };
}

/** Simulated trainer that processes each group as soon as it is complete. */
class SimulatedTrainer {
  readonly #samples = new Map<number, number>();
  readonly #completedAt: number[] = [];

  /** Adds one sample of a group. */
  addSample(group: number): void {
    const count = (this.#samples.get(group) ?? 0) + 1;
    this.#samples.set(group, count);
    if (count === SAMPLES_PER_GROUP) this.#completedAt.push(performance.now());
  }

  /** Returns the time in which the trainer had no complete group to process, in milliseconds. */
  getIdleMilliseconds(startedAt: number): number {
    let freeAt = startedAt;
    let idle = 0;
    for (const completedAt of this.#completedAt) {
      idle += Math.max(0, completedAt - freeAt);
      freeAt = Math.max(freeAt, completedAt) + TRAINING_MILLISECONDS_PER_GROUP;
    }
    return idle;
  }
}

async function pull(
  service: StepService,
  step: string,
  cursor: string,
): Promise<PullResponse | undefined> {
  const answers: PullResponse[] = [];
  await service.pull({
    trainer: "dots",
    step,
    cursor,
    maximum: 64,
    waitMilliseconds: PULL_WAIT_MILLISECONDS,
    newestVersion: 1,
    signal: new AbortController().signal,
  }, (answer) => answers.push(answer));
  return answers[0];
}

function printResults(results: ReadonlyArray<PolicyResult>): void {
  console.log(
    `${ENGINES} engines of ${BATCH_SLOTS} slots, ${STEPS} steps of ` +
      `${GROUPS * SAMPLES_PER_GROUP} samples in groups of ${SAMPLES_PER_GROUP}`,
  );
  console.log(
    "policy       trouble       mean step  p50 step  p99 step mean idle",
  );
  for (const { policy, steps } of results) {
    for (const fault of [...FAULT_ORDER, undefined]) {
      const some = steps
        .filter((step) => fault === undefined || step.fault === fault);
      const times = some.map((step) => step.milliseconds);
      const idle = some.map((step) => step.idleMilliseconds);
      console.log(
        `${policy.padEnd(13)}${(fault ?? "all").padEnd(13)}` +
          [
            getMean(times),
            getQuantile(times, 0.5),
            getQuantile(times, 0.99),
            getMean(idle),
          ].map(toSeconds).join(""),
      );
    }
  }
  for (const { policy, steps, generatedTokens, secondRuns } of results) {
    const delivered = steps
      .reduce((sum, step) => sum + step.deliveredTokens, 0);
    const extra = (generatedTokens - delivered) / delivered * 100;
    console.log(
      `${policy.padEnd(13)}${secondRuns} second runs, ` +
        `${extra.toFixed(1)} % extra tokens`,
    );
  }
}

function getMean(values: ReadonlyArray<number>): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function toSeconds(milliseconds: number): string {
  return `${(milliseconds / 1000).toFixed(2)} s`.padStart(10);
}

function sumField(
  events: ReadonlyArray<{
    readonly fields: Readonly<Record<string, string | number | boolean>>;
  }>,
  field: string,
): number {
  return events.reduce((sum, event) => sum + Number(event.fields[field]), 0);
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

const { values } = parseArgs({
  options: { seed: { type: "string" }, policy: { type: "string" } },
});
const seed = Number(values.seed ?? 1);
const results: PolicyResult[] = [];
for (const policy of ["none", "hedgedTail", "resumedTail"] as const) {
  if (values.policy !== undefined && values.policy !== policy) continue;
  results.push(await runPolicy(policy, seed));
}
printResults(results);
process.exit(0);
