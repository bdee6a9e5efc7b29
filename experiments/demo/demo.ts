import { AddressBook } from "../clients/address_book.ts";
import { call } from "../clients/call.ts";
import { TrainerClient } from "../clients/trainer_client.ts";
import { Deployment } from "../deployment/deployment.ts";
import { LAYOUTS } from "../deployment/layout.ts";
import { countSamples } from "./count_samples.ts";

const NODES = 3;
const GROUPS = 8;
const SAMPLES_PER_GROUP = 8;
const TOKENS_PER_SAMPLE = 64;
const STALENESS_BOUND = 2;
const STEP_LIMIT_MILLISECONDS = 45_000;
const MAXIMUM_ATTEMPTS = 20;
const RETRY_MILLISECONDS = 200;
const PAUSE_BETWEEN_CALLS_MILLISECONDS = 40;
const FIRST_CHANGE_MILLISECONDS = 700;
const KILL_MILLISECONDS = 1500;
const SECOND_CHANGE_MILLISECONDS = 2500;

interface Traffic {
  answered: number;
  lost: number;
}

async function main(): Promise<number> {
  const layout = LAYOUTS.atbr;
  console.log(`Starting ${layout.name} with ${NODES} nodes`);
  const deployment = await Deployment.start({
    layout,
    nodes: NODES,
    engineFlags: ["--tokens-per-second=40", "--batch-slots=8"],
    ...(process.env["DEMO_LOGS"] === undefined
      ? {}
      : { logFolder: process.env["DEMO_LOGS"] }),
  });
  try {
    return await runDemo(deployment);
  } finally {
    await deployment.stop();
  }
}

async function runDemo(deployment: Deployment): Promise<number> {
  const layout = LAYOUTS.atbr;
  await deployment.runCommandOrFail(["apply", layout.declaration]);
  const organisation = layout.trainerOrganisation;
  const key = await deployment.runCommandOrFail(["key", "give", organisation]);
  const trainerKey = await deployment.runCommandOrFail([
    "key",
    "give",
    organisation,
    "--trainer",
  ]);
  const callerAddresses = deployment.nodes.map((node) => node.callerAddress);
  const seeds = (): ReadonlyArray<string> => callerAddresses;
  const trainer = new TrainerClient({
    trainer: layout.trainer,
    key: trainerKey,
    addresses: new AddressBook({ seeds, failureDomain: "cluj-a" }),
  });
  if (!await trainer.publish(1)) throw new Error("Version 1 was not accepted");
  const traffic: Traffic = { answered: 0, lost: 0 };
  const stopping = new AbortController();
  const callers = ["cluj-a", "iasi-b", "suceava-c"].map((failureDomain) =>
    runCaller({ seeds, failureDomain, key, traffic, signal: stopping.signal })
  );
  const faults = injectFaults(deployment, trainer);
  const step = await trainer.runStep(
    "step-1",
    Array.from({ length: GROUPS }, (_, index) => ({
      prompt: `Write line ${index} of the page in contracted braille`,
      samples: SAMPLES_PER_GROUP,
      maximumTokens: TOKENS_PER_SAMPLE,
    })),
    STEP_LIMIT_MILLISECONDS,
  );
  await faults;
  stopping.abort();
  await Promise.all(callers);
  return printReport(traffic, step, deployment);
}

function printReport(
  traffic: Traffic,
  step: Awaited<ReturnType<TrainerClient["runStep"]>>,
  deployment: Deployment,
): number {
  const counts = countSamples(step.samples, {
    wanted: GROUPS * SAMPLES_PER_GROUP,
    stalenessBound: STALENESS_BOUND,
  });
  const lost = counts.missing + traffic.lost;
  const versions = new Set(
    step.samples.flatMap((sample) =>
      sample.stretches.map((stretch) => stretch.weightVersion)
    ),
  );
  console.log(
    `The step took ${Math.round(step.milliseconds)} ms; weight versions ${
      [...versions].sort().join(", ")
    }; failed attempts ${JSON.stringify(step.failures)}`,
  );
  const isGood = lost === 0 && counts.duplicated === 0 &&
    counts.stale === 0 &&
    traffic.answered > 0;
  if (!isGood) {
    for (const node of deployment.nodes) {
      console.log(`${node.name}:\n${node.process.lines.join("\n")}`);
    }
  }
  console.log(
    `demo: ${traffic.answered} requests answered, ${counts.delivered} samples delivered, ` +
      `${lost} lost, ${counts.duplicated} doubled, ${counts.stale} too old`,
  );
  return isGood ? 0 : 1;
}

async function injectFaults(
  deployment: Deployment,
  trainer: TrainerClient,
): Promise<void> {
  await sleep(FIRST_CHANGE_MILLISECONDS);
  if (!await trainer.publish(2)) throw new Error("Version 2 was not accepted");
  await sleep(KILL_MILLISECONDS - FIRST_CHANGE_MILLISECONDS);
  const killedNode = deployment.nodes[0];
  console.log(`Killing ${killedNode?.name}`);
  await killedNode?.process.end("SIGKILL");
  await sleep(SECOND_CHANGE_MILLISECONDS - KILL_MILLISECONDS);
  if (!await trainer.publish(3)) throw new Error("Version 3 was not accepted");
}

interface CallerOptions {
  readonly seeds: () => ReadonlyArray<string>;
  readonly failureDomain: string;
  readonly key: string;
  readonly traffic: Traffic;
  readonly signal: AbortSignal;
}

async function runCaller(options: CallerOptions): Promise<void> {
  const addresses = new AddressBook(options);
  for (let number = 0; !options.signal.aborted; number += 1) {
    const isCompletion = number % 3 === 0;
    const isAnswered = await retryCall(addresses, {
      key: isCompletion || number % 3 === 1 ? options.key : undefined,
      ...(isCompletion
        ? {
          method: "POST" as const,
          path: "/v1/completions",
          body: {
            model: "dot-models",
            class: "interactive",
            prompt: `Spell word ${number} from ${options.failureDomain}`,
            max_tokens: 8,
          },
        }
        : {
          method: "GET" as const,
          path: number % 3 === 1
            ? `/orders/${options.failureDomain}-${number}`
            : `/orders/status/${number}`,
        }),
    });
    if (isAnswered) options.traffic.answered += 1;
    else options.traffic.lost += 1;
    await sleep(PAUSE_BETWEEN_CALLS_MILLISECONDS);
  }
}

async function retryCall(
  addresses: AddressBook,
  wanted: Omit<Parameters<typeof call>[0], "address">,
): Promise<boolean> {
  let lastFailure = "";
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
    const address = await addresses.choose();
    const outcome = await call({ ...wanted, address });
    if (outcome.kind === "answer" && outcome.status === 200) return true;
    lastFailure = outcome.kind === "lost"
      ? outcome.reason
      : `${outcome.status} ${outcome.text}`;
    addresses.avoid(address);
    await sleep(RETRY_MILLISECONDS);
  }
  console.log(
    `No successful response to ${wanted.method} ${wanted.path}: ${lastFailure}`,
  );
  return false;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

main().then((status) => process.exit(status), (error) => {
  console.error(String(error));
  process.exit(1);
});
