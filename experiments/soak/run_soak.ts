import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { AddressBook } from "../clients/address_book.ts";
import { TrainerClient } from "../clients/trainer_client.ts";
import { Deployment } from "../deployment/deployment.ts";
import type { DeploymentLayout } from "../deployment/layout.ts";
import { type CallerKey, runCaller } from "./actors/caller.ts";
import { issueKey, pollRevisions } from "./actors/operator.ts";
import { runPublications, runSteps } from "./actors/trainer.ts";
import { CHECKS } from "./checks/checks.ts";
import {
  BackendRequestCollector,
  collectPlatformRecords,
  type Evidence,
} from "./evidence.ts";
import { FAULT_ACTIONS, type FaultContext } from "./fault_actions.ts";
import { createFaultSchedule } from "./fault_schedule.ts";
import { Journal } from "./journal.ts";

const KEY_FRESHNESS_MILLISECONDS = 6000;
const KEY_MARGIN_MILLISECONDS = 1500;
const CONFIGURATION_BOUND_MILLISECONDS = 19_000;
const STALENESS_BOUND = 2;
const RECOVERY_MILLISECONDS = 4000;
const CALLERS_PER_ORGANISATION = 2;
const CALLER_PAUSE_MILLISECONDS = 60;
const NODE_FLAGS = [
  "--lease-milliseconds=3000",
  "--order-deadline-milliseconds=1000",
  "--usage-window-milliseconds=5000",
  "--heartbeat-milliseconds=300",
  "--silence-milliseconds=1500",
  `--key-freshness-milliseconds=${KEY_FRESHNESS_MILLISECONDS}`,
  "--address-keep-milliseconds=1000",
  "--drain-milliseconds=15000",
  "--log-level=info",
];

/** Options of a soak test. */
export interface SoakOptions {
  readonly layout: DeploymentLayout;
  readonly seed: number;
  readonly durationMilliseconds: number;
  readonly nodes: number;
  readonly logFolder?: string;
  readonly log: (text: string) => void;
}

/** Result of a soak test. */
export interface SoakResult {
  /** Violations by the name of the guarantee; empty lists where there are none. */
  readonly violations: Readonly<Record<string, ReadonlyArray<string>>>;
  readonly evidence: Evidence;
}

/**
 * Runs a deployment under random faults and checks every guarantee from outside the nodes.
 * @param options - Options of the test.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const deployment = await Deployment.start({
    layout: options.layout,
    nodes: options.nodes,
    nodeFlags: NODE_FLAGS,
    engineFlags: ["--tokens-per-second=60", "--batch-slots=16"],
    ...(options.logFolder === undefined
      ? {}
      : { logFolder: options.logFolder }),
  });
  try {
    const evidence = await runAndCollect(deployment, options);
    const violations = Object.fromEntries(
      Object.entries(CHECKS).map(([name, check]) => [name, check(evidence)]),
    );
    return { violations, evidence };
  } finally {
    await deployment.stop();
  }
}

interface IssuedKeys {
  readonly trainer: CallerKey;
  readonly callers: ReadonlyArray<
    { readonly key: CallerKey; readonly organisation: string }
  >;
}

async function runAndCollect(
  deployment: Deployment,
  options: SoakOptions,
): Promise<Evidence> {
  const journal = new Journal();
  const requestCollector = new BackendRequestCollector();
  const declarations = writeDeclarations(options.layout);
  await deployment.runCommand(["apply", options.layout.declaration]);
  const keys = await issueKeys(deployment, options.layout, journal);
  const stopping = new AbortController();
  const actors = startActors(deployment, {
    options,
    journal,
    keys,
    signal: stopping.signal,
  });
  const context: FaultContext = {
    deployment,
    journal,
    requestCollector,
    replaceableKeys: keys.callers,
    declarations,
    busyTargets: new Set(),
  };
  const crashMonitor = monitorCrashes(deployment, context, stopping.signal);
  await runFaults(context, options);
  options.log("All faults have ended; waiting for the deployment to recover");
  await sleep(RECOVERY_MILLISECONDS);
  stopping.abort();
  await Promise.all([...actors, crashMonitor]);
  options.log("All callers and trainers have stopped; running the checks");
  for (const server of deployment.servers) {
    await requestCollector.collect(server);
  }
  return {
    journal,
    backendRequests: requestCollector.requests,
    ...await collectPlatformRecords(deployment),
    trainerOrganisation: options.layout.trainerOrganisation,
    stalenessBound: STALENESS_BOUND,
    keyBoundMilliseconds: KEY_FRESHNESS_MILLISECONDS +
      KEY_MARGIN_MILLISECONDS,
    configurationBoundMilliseconds: CONFIGURATION_BOUND_MILLISECONDS,
  };
}

function writeDeclarations(layout: DeploymentLayout): ReadonlyArray<string> {
  const folder = mkdtempSync(join(tmpdir(), "snipepath-soak-"));
  const text = readFileSync(layout.declaration, "utf8");
  return ["requestsPerSecond: 201", "requestsPerSecond: 202"].map(
    (limit, index) => {
      const path = join(folder, `declaration-${index}.yaml`);
      writeFileSync(path, text.replace("requestsPerSecond: 200", limit));
      return path;
    },
  );
}

async function issueKeys(
  deployment: Deployment,
  layout: DeploymentLayout,
  journal: Journal,
): Promise<IssuedKeys> {
  const trainer = await issueKey(deployment, {
    organisation: layout.trainerOrganisation,
    isTrainer: true,
  }, journal);
  const callers = await Promise.all(
    layout.organisations.map(async (organisation) => ({
      organisation,
      key: await issueKey(
        deployment,
        { organisation, isTrainer: false },
        journal,
      ),
    })),
  );
  return { trainer, callers };
}

interface ActorOptions {
  readonly options: SoakOptions;
  readonly journal: Journal;
  readonly keys: IssuedKeys;
  readonly signal: AbortSignal;
}

function startActors(
  deployment: Deployment,
  actorOptions: ActorOptions,
): ReadonlyArray<Promise<void>> {
  const { options, journal, keys, signal } = actorOptions;
  const { layout } = options;
  const names = new Map<string, string>();
  function getNodeName(address: string): string {
    for (const node of deployment.nodes) {
      names.set(node.callerAddress, node.name);
    }
    return names.get(address) ?? address;
  }
  function createAddressBook(index: number): AddressBook {
    const { failureDomains } = layout;
    return new AddressBook({
      seeds: () => deployment.nodes.map((node) => node.callerAddress),
      failureDomain: failureDomains[index % failureDomains.length] ?? "",
    });
  }
  const trainer = new TrainerClient({
    trainer: layout.trainer,
    key: keys.trainer.key,
    addresses: createAddressBook(0),
  });
  const callers = keys.callers.flatMap(({ organisation, key }, index) =>
    Array.from(
      { length: CALLERS_PER_ORGANISATION },
      (_, number) =>
        runCaller({
          name: `${organisation}-${number}`,
          organisation,
          key,
          model: layout.services[0]?.name ?? "",
          orderPath: layout.orderPath,
          statusPath: layout.statusPath,
          addresses: createAddressBook(index + number),
          journal,
          getNodeName,
          pauseMilliseconds: CALLER_PAUSE_MILLISECONDS,
          signal,
        }),
    )
  );
  return [
    ...callers,
    runTrainer(trainer, journal, signal),
    pollRevisions(deployment, journal, signal),
  ];
}

async function runTrainer(
  trainer: TrainerClient,
  journal: Journal,
  signal: AbortSignal,
): Promise<void> {
  if (!await trainer.publish(1)) {
    journal.crashes.push("version 1 was not accepted");
    return;
  }
  await Promise.all([
    runSteps({ trainer, journal, signal }),
    runPublications({ trainer, journal, signal }),
  ]);
}

async function runFaults(
  context: FaultContext,
  options: SoakOptions,
): Promise<void> {
  const schedule = createFaultSchedule({
    seed: options.seed,
    durationMilliseconds: options.durationMilliseconds,
    nodes: options.nodes,
    servers: context.deployment.servers.length,
  });
  const running: Promise<void>[] = [];
  const startedAt = context.journal.now();
  for (const fault of schedule) {
    await sleep(startedAt + fault.at - context.journal.now());
    options.log(
      `${
        (fault.at / 1000).toFixed(1)
      } s ${fault.kind} of ${fault.target} for ${fault.lasts} ms`,
    );
    running.push(FAULT_ACTIONS[fault.kind](context, fault));
  }
  await sleep(startedAt + options.durationMilliseconds - context.journal.now());
  await Promise.all(running);
}

async function monitorCrashes(
  deployment: Deployment,
  context: FaultContext,
  signal: AbortSignal,
): Promise<void> {
  const reported = new Set<unknown>();
  while (!signal.aborted) {
    for (const node of deployment.nodes) {
      const { child } = node.process;
      const hasEnded = child.exitCode !== null || child.signalCode !== null;
      if (
        !hasEnded || context.busyTargets.has(node.name) || reported.has(child)
      ) {
        continue;
      }
      reported.add(child);
      context.journal.crashes.push(
        `${node.name} ended with status ${child.exitCode}: ${
          node.process.lines.slice(-3).join(" ")
        }`,
      );
    }
    await sleep(200);
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
