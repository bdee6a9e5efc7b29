import test from "ava";
import fc from "fast-check";
import { createSampleRequest } from "../../stand_ins/installation/create_sample_request.ts";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import type { TextEvent } from "../backends/server_client.ts";
import type { Configuration } from "../installation/configuration.ts";
import { NodeRegister } from "../installation/node_register.ts";
import { ServerLimits } from "../installation/server_limits.ts";
import { ServerView } from "../installation/server_view.ts";
import { createRendezvous } from "../membership/rendezvous.ts";
import { EnginePool } from "./engine_pool.ts";
import type { SampleResult } from "./sample_result.ts";
import { toStepRowPlace } from "./step_registry.ts";
import { StepSupervisor } from "./step_supervisor.ts";
import type { StepManifest } from "./step_manifest.ts";
import type { StepTools } from "./step_tools.ts";

const SEED = 1;
const RUNS = 12;
const EVENT_MILLISECONDS = 10;
const TIME_LIMIT_MILLISECONDS = 5000;
const NODE_START = "front-1/1";

/** Two steps with the same samples that run at one node at the same time. */
interface Overlap {
  readonly samples: number;
  readonly events: number;
  /** Time between the starts of the two runs, in milliseconds. */
  readonly laterMilliseconds: number;
  /** Time after which engines with the later step's weights come, in milliseconds. */
  readonly newWeightsMilliseconds: number;
  /** Lowest weight version of the later step; the earlier one may use any. */
  readonly minimumVersion: number;
  readonly isSingleVersion: boolean;
}

const OVERLAP = fc.record<Overlap>({
  samples: fc.integer({ min: 1, max: 5 }),
  events: fc.integer({ min: 2, max: 12 }),
  laterMilliseconds: fc.integer({ min: 0, max: 90 }),
  newWeightsMilliseconds: fc.integer({ min: 0, max: 250 }),
  minimumVersion: fc.integer({ min: 2, max: 6 }),
  isSingleVersion: fc.boolean(),
});

function createConfiguration(isSingleVersion: boolean): Configuration {
  const route = {
    host: "h",
    pathPrefix: "/p/",
    services: [{ service: "s", weight: 1 }],
    isSingleVersion,
    maximumAttempts: 3,
    resultDeadlineMilliseconds: 5000,
    sampleLifetimeMilliseconds: 20_000,
  };
  return { routes: [route] } as unknown as Configuration;
}

// An engine that sends an event every 10 ms; each event names the weight version that generated it.
function createEngineClient(events: number): StepTools["client"] {
  return {
    open: (server, request) =>
      Promise.resolve({
        kind: "answered",
        status: 200,
        headers: {},
        signature: "signed",
        weightVersion: server.weightVersions.get("m"),
        body: generate(server.weightVersions.get("m") ?? 0, {
          first: (request.afterEvent ?? -1) + 1,
          events,
        }),
        abandon: () => {},
      }),
    readEvents: parseEvents,
  };
}

async function* parseEvents(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<TextEvent> {
  for await (const line of body) yield JSON.parse(line.toString());
}

async function* generate(
  version: number,
  { first, events }: { readonly first: number; readonly events: number },
): AsyncGenerator<Buffer> {
  for (let number = first; number < events; number += 1) {
    await sleep(EVENT_MILLISECONDS);
    yield Buffer.from(JSON.stringify({
      number,
      text: `${number} of version ${version}`,
      weightVersion: version,
    }));
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function createTools(
  { events, isSingleVersion }: Overlap,
  signal: AbortSignal,
): Promise<StepTools> {
  const table = new MemoryDurableTable();
  const unused = createStepTools(table, signal);
  const { clock, log } = unused;
  const servers = new ServerView({
    ...unused,
    tableName: "servers",
    readRow: (key, value) =>
      createServerEntry(key, {
        weightVersions: new Map([["m", Number(value.toString())]]),
      }),
    drainMilliseconds: 2000,
    stopping: signal,
  });
  await putEngine(table, "e1", 1);
  void servers.run();
  return {
    ...unused,
    servers,
    client: createEngineClient(events),
    pool: new EnginePool(clock, {
      servers,
      limits: new ServerLimits({ node: "n1", clock, log }),
      isConnected: () => true,
      findMemoryTokens: () => 0,
    }),
    configuration: () => createConfiguration(isSingleVersion),
  };
}

async function putEngine(
  table: StepTools["table"],
  key: string,
  version: number,
): Promise<void> {
  const value = Buffer.from(String(version));
  const puts = [{ table: "servers", partition: "", key, value }];
  await table.commit({ conditions: [], puts });
}

async function submit(
  { table, submissionStore }: StepTools,
  { step, minimumVersion, samples }: {
    readonly step: number;
    readonly minimumVersion: number;
    readonly samples: number;
  },
): Promise<void> {
  const identifier = `s${step}`;
  submissionStore.addToCache(identifier, {
    step,
    model: "m",
    minimumVersion,
    targetGroups: 1,
    samples: Array.from(
      { length: samples },
      (_none, index) => createSampleRequest(`q${index}`),
    ),
  });
  const manifest: StepManifest = {
    identifier,
    organisation: "o",
    host: "h",
    path: "/p/",
    submittedAt: Date.now(),
    total: samples,
    model: "m",
    step,
    upload: `${identifier}/1`,
    chunks: 1,
    owner: NODE_START,
  };
  const value = Buffer.from(JSON.stringify(manifest));
  const place = toStepRowPlace(identifier, "manifest");
  await table.commit({ conditions: [], puts: [{ ...place, value }] });
}

async function startSupervisor(
  tools: StepTools,
  stopping: AbortSignal,
): Promise<void> {
  const register = new NodeRegister({
    ...tools,
    stopping,
    self: () => ({
      node: "front-1",
      nodeStart: NODE_START,
      failureDomain: "a",
      processorShare: 1,
      callerAddress: "front-1:80",
      isServing: true,
      isRunningSteps: true,
      engineUse: undefined,
      leavingServers: [],
      limits: [],
      peerAddress: undefined,
      isCutOff: false,
      wallOffset: undefined,
      usageSettledThrough: 0,
    }),
  });
  const supervisor = new StepSupervisor({
    tools,
    register,
    rendezvous: await createRendezvous(),
    nodeStart: NODE_START,
    readSignature: () => undefined,
    stopping,
  });
  for (const part of [tools.stepRegistry, register, supervisor]) {
    void part.run();
  }
}

async function readResults(
  { results }: StepTools,
  { step, samples }: { readonly step: number; readonly samples: number },
): Promise<ReadonlyArray<SampleResult>> {
  const until = Date.now() + TIME_LIMIT_MILLISECONDS;
  for (;;) {
    const read = await results.readAll(`s${step}`, 0);
    const listed = read.kind === "ok" ? read.value : [];
    if (listed.length >= samples || Date.now() > until) return listed;
    await sleep(EVENT_MILLISECONDS);
  }
}

// Returns what is wrong with the results of a step.
function findFaults(
  results: ReadonlyArray<SampleResult>,
  { minimumVersion, events, isSingleVersion }: Overlap,
): ReadonlyArray<string> {
  return results.flatMap((result) => {
    if (result.kind !== "completed") return [`${result.identifier} ended`];
    const { text, weightVersions } = result;
    const parts = text.split("\n").map((part) => part.split(" of version "));
    const made = new Set(parts.map(([, version]) => Number(version)));
    const isComplete = parts.length === events &&
      parts.every(([number], index) => Number(number) === index);
    const isAllowed = weightVersions.every((each) => each >= minimumVersion) &&
      (!isSingleVersion || weightVersions.length === 1);
    const isTrue = [...made].join() === weightVersions.join();
    return isComplete && isAllowed && isTrue
      ? []
      : [`${result.identifier}: ${weightVersions.join()} ${text}`];
  });
}

async function run(overlap: Overlap): Promise<ReadonlyArray<string>> {
  const stopping = new AbortController();
  const tools = await createTools(overlap, stopping.signal);
  await startSupervisor(tools, stopping.signal);
  const { samples, minimumVersion } = overlap;
  await submit(tools, { step: 1, minimumVersion: 1, samples });
  const adding = sleep(overlap.newWeightsMilliseconds).then(() =>
    putEngine(tools.table, "e2", minimumVersion)
  );
  await sleep(overlap.laterMilliseconds);
  await submit(tools, { step: 2, minimumVersion, samples });
  await adding;
  const [earlier, later] = await Promise.all([
    readResults(tools, { step: 1, samples }),
    readResults(tools, { step: 2, samples }),
  ]);
  stopping.abort();
  return [
    ...earlier.length < samples ? ["the earlier step is not complete"] : [],
    ...later.length < samples ? ["the later step is not complete"] : [],
    ...findFaults(earlier, { ...overlap, minimumVersion: 1 }),
    ...findFaults(later, overlap),
  ];
}

// Guards against two runs that share a text, so that a step lists events of weights that are older
// than it allows, or a text with a gap.
test("two steps that run the same samples at one node each list whole texts of weights that they may use", async (t) => {
  await fc.assert(
    fc.asyncProperty(OVERLAP, async (overlap) => {
      const faults = await run(overlap);
      if (faults.length > 0) throw new Error(faults.join("; "));
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
  t.pass();
});
