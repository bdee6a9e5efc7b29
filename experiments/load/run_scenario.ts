import { readFileSync } from "node:fs";
import { parseDeclaration } from "../../source/declarations/declaration_document.ts";
import { AddressBook } from "../clients/address_book.ts";
import { type StepResult, TrainerClient } from "../clients/trainer_client.ts";
import { Deployment } from "../deployment/deployment.ts";
import { type DeploymentLayout, LAYOUTS } from "../deployment/layout.ts";
import { measureRun, type RunMeasures } from "./measures.ts";
import { type RequestRecord, runOpenLoop } from "./open_loop.ts";
import { planRequests } from "./request_plan.ts";
import type { Scenario } from "./scenario.ts";

const SETTLE_MILLISECONDS = 2000;
const PUBLISH_INTERVAL_MILLISECONDS = 4000;
const STEP_LIMIT_MILLISECONDS = 60_000;
const SAMPLES_PER_GROUP = 8;
const SAMPLE_TOKENS = 32;
const EXPLAIN_SECONDS = 120;
const ENGINE_FLAGS = [
  "--tokens-per-second=100",
  "--batch-slots=8",
  "--varies-lengths",
];

/** Options of a run of a scenario. */
export interface RunOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  /** Policies of the nodes, as flags. */
  readonly nodeFlags: ReadonlyArray<string>;
  readonly logFolder?: string;
}

/** Result of a run of a scenario. */
export interface RunResult {
  readonly measures: RunMeasures;
  readonly records: ReadonlyArray<RequestRecord>;
  readonly steps: ReadonlyArray<StepResult>;
  /** Condition that `snipepath explain` named; empty for none. */
  readonly condition: string;
  /** Whether the condition is one that the scenario causes, or no target was missed. */
  readonly isConditionRight: boolean;
}

/**
 * Runs a scenario on a newly started deployment.
 * @param options - Scenario, seed and policies.
 */
export async function runScenario(options: RunOptions): Promise<RunResult> {
  const { scenario } = options;
  const layout = LAYOUTS[scenario.layout];
  const deployment = await Deployment.start({
    layout,
    nodes: scenario.nodes,
    nodeFlags: options.nodeFlags,
    engineFlags: ENGINE_FLAGS,
    getEngineFlags: scenario.engineFlags ?? (() => []),
    ...(options.logFolder === undefined
      ? {}
      : { logFolder: options.logFolder }),
  });
  try {
    return await runLoad(deployment, layout, options);
  } finally {
    await deployment.stop();
  }
}

async function runLoad(
  deployment: Deployment,
  layout: DeploymentLayout,
  options: RunOptions,
): Promise<RunResult> {
  const { scenario, seed } = options;
  await deployment.runCommandOrFail(["apply", layout.declaration]);
  const keys = await issueKeys(deployment, layout);
  const trainer = await createTrainer(deployment, layout);
  await sleep(SETTLE_MILLISECONDS);
  const startedAt = performance.now();
  const stopping = new AbortController();
  const faultInjection = scenario.injectFaults?.({
    deployment,
    waitUntil: (at) => sleep(startedAt + at - performance.now()),
  });
  const training = scenario.stepSamples === 0
    ? Promise.resolve([])
    : runTraining(trainer, scenario.stepSamples, stopping.signal);
  const records = await runOpenLoop({
    plan: planRequests({
      seed,
      durationMilliseconds: scenario.durationMilliseconds,
      streams: scenario.streams(layout),
    }),
    addresses: createAddressBooks(deployment, layout),
    keys,
    nodeAddress: (index) => deployment.nodes[index]?.callerAddress ?? "",
    model: layout.services[0]?.name ?? "",
    statusPath: layout.statusPath,
    orderPath: layout.orderPath,
  });
  const durationMilliseconds = performance.now() - startedAt;
  stopping.abort();
  const steps = await training;
  await faultInjection;
  const condition = await explain(deployment);
  const measures = measureRun({
    records,
    steps,
    durationMilliseconds,
    targets: readTargets(layout),
    flooding: scenario.flooding ?? [],
  });
  const isConditionRight = condition === "" ||
    scenario.causes.some((cause) => cause === condition);
  return { measures, records, steps, condition, isConditionRight };
}

async function runTraining(
  trainer: TrainerClient,
  samples: number,
  signal: AbortSignal,
): Promise<ReadonlyArray<StepResult>> {
  const steps: StepResult[] = [];
  const publishing = runPublications(trainer, signal);
  for (let number = 1; !signal.aborted; number += 1) {
    steps.push(
      await trainer.runStep(
        `step-${number}`,
        Array.from(
          { length: Math.ceil(samples / SAMPLES_PER_GROUP) },
          (_, group) => ({
            prompt: `Transcribe page ${number}, line ${group}`,
            samples: SAMPLES_PER_GROUP,
            maximumTokens: SAMPLE_TOKENS,
          }),
        ),
        STEP_LIMIT_MILLISECONDS,
      ),
    );
  }
  await publishing;
  return steps;
}

async function runPublications(
  trainer: TrainerClient,
  signal: AbortSignal,
): Promise<void> {
  for (let version = 2; !signal.aborted; version += 1) {
    await sleep(PUBLISH_INTERVAL_MILLISECONDS);
    if (!signal.aborted) await trainer.publish(version);
  }
}

async function issueKeys(
  deployment: Deployment,
  layout: DeploymentLayout,
): Promise<ReadonlyMap<string, string>> {
  const entries = await Promise.all(
    layout.organisations.map(async (organisation) => {
      const key = await deployment.runCommandOrFail([
        "key",
        "give",
        organisation,
      ]);
      return [organisation, key] as const;
    }),
  );
  return new Map(entries);
}

async function createTrainer(
  deployment: Deployment,
  layout: DeploymentLayout,
): Promise<TrainerClient> {
  const key = await deployment.runCommandOrFail([
    "key",
    "give",
    layout.trainerOrganisation,
    "--trainer",
  ]);
  const addresses = createAddressBook(deployment, layout, 0);
  const trainer = new TrainerClient({
    trainer: layout.trainer,
    key,
    addresses,
  });
  if (!await trainer.publish(1)) throw new Error("Version 1 was not accepted");
  return trainer;
}

function createAddressBooks(
  deployment: Deployment,
  layout: DeploymentLayout,
): ReadonlyMap<string, AddressBook> {
  return new Map(
    layout.organisations.map((organisation, index) => [
      organisation,
      createAddressBook(deployment, layout, index),
    ]),
  );
}

function createAddressBook(
  deployment: Deployment,
  layout: DeploymentLayout,
  index: number,
): AddressBook {
  const { failureDomains } = layout;
  return new AddressBook({
    seeds: () => deployment.nodes.map((node) => node.callerAddress),
    failureDomain: failureDomains[index % failureDomains.length] ?? "",
  });
}

function readTargets(layout: DeploymentLayout): ReadonlyMap<string, number> {
  const outcome = parseDeclaration(readFileSync(layout.declaration, "utf8"));
  if (outcome.kind !== "ok") throw new Error("The declaration is invalid");
  return new Map(
    outcome.declaration.classes.map((each) => [
      each.name,
      each.latencyP99Milliseconds,
    ]),
  );
}

async function explain(deployment: Deployment): Promise<string> {
  const text = await deployment.runCommandOrFail([
    "explain",
    "all",
    `--within=${EXPLAIN_SECONDS}`,
    "--json",
  ]);
  const explanation = JSON.parse(text) as {
    readonly targetsMissed: number;
    readonly condition: string;
  };
  return explanation.targetsMissed === 0 ? "" : explanation.condition;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) =>
    setTimeout(resolve, Math.max(0, milliseconds))
  );
}
