import test from "ava";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import type { Configuration } from "../installation/configuration.ts";
import { NodeRegister } from "../installation/node_register.ts";
import { toProcessIdentity } from "../installation/process_identity.ts";
import { RegionRules } from "../installation/region_rules.ts";
import { createRendezvous } from "../membership/rendezvous.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { toStepRowPlace } from "./step_registry.ts";
import { StepSupervisor } from "./step_supervisor.ts";
import type { StepManifest } from "./step_manifest.ts";
import type { StepTools } from "./step_tools.ts";

/**
 * Time limit of the takeover, shorter than the 600 ms after which a node register counts as
 * current.
 */
const TAKE_OVER_LIMIT_MILLISECONDS = 300;

async function writeStep(
  table: MemoryDurableTable,
  owner: string,
  submittedRegion: string | undefined,
): Promise<void> {
  const manifest: StepManifest = {
    identifier: "s1",
    organisation: "o",
    host: "h",
    path: "/p/",
    submittedAt: Date.now(),
    total: 4,
    model: "m",
    step: 1,
    upload: "s1/1",
    chunks: 1,
    owner,
    ...(submittedRegion === undefined ? {} : { submittedRegion }),
  };
  await table.commit({
    conditions: [],
    puts: [{
      ...toStepRowPlace("s1", "manifest"),
      value: Buffer.from(JSON.stringify(manifest)),
    }],
  });
}

interface Restriction {
  /** Regions that the lists allow; this node is in region "r". */
  readonly regions: ReadonlyArray<string>;
  /** Region in which the step was submitted; absent from rows of earlier programs. */
  readonly submittedRegion?: string;
}

async function findOwnerAfterStart(
  earlierOwner: string,
  restriction?: Restriction,
): Promise<string> {
  const table = new MemoryDurableTable();
  await writeStep(table, earlierOwner, restriction?.submittedRegion);
  const stopping = new AbortController();
  const unrestricted = createStepTools(table, stopping.signal);
  const tools = restriction === undefined
    ? unrestricted
    : { ...unrestricted, ...restrict(unrestricted, restriction) };
  const nodeStart = toProcessIdentity("front-1", "later");
  const register = new NodeRegister({
    ...tools,
    stopping: stopping.signal,
    self: () => ({
      node: "front-1",
      nodeStart,
      failureDomain: "a",
      processorShare: 1,
      callerAddress: "front-1:80",
      isServing: true,
      isRunningSteps: false,
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
    nodeStart,
    readSignature: () => undefined,
    stopping: stopping.signal,
  });
  for (const part of [tools.stepRegistry, register, supervisor]) {
    void part.run();
  }
  await new SystemClock().sleep(TAKE_OVER_LIMIT_MILLISECONDS);
  const owner = tools.stepRegistry.get("s1")?.owner ?? "";
  stopping.abort();
  return owner;
}

function restrict(
  { log }: StepTools,
  { regions }: Restriction,
): Pick<StepTools, "regionRules" | "configuration"> {
  const adopted = {
    routes: [],
    organisationRegions: new Map([["o", new Set(regions)]]),
  } as unknown as Configuration;
  const configuration = (): Configuration => adopted;
  const settings = { failureDomain: "a", region: "r", regions: new Map() };
  const regionRules = new RegionRules({ log, settings, configuration });
  return { regionRules, configuration };
}

test("a restarted process takes over its node's steps at once", async (t) => {
  const earlier = toProcessIdentity("front-1", "earlier");
  t.is(await findOwnerAfterStart(earlier), "front-1/later");
});

test("the steps of another node are not taken over before its failure is detected", async (t) => {
  const other = toProcessIdentity("front-10", "1");
  t.is(await findOwnerAfterStart(other), other);
});

const RESTRICTIONS: ReadonlyArray<Restriction & { readonly isTaken: boolean }> =
  [
    { regions: ["r"], isTaken: true },
    { regions: ["other"], submittedRegion: "r", isTaken: true },
    { regions: ["other"], submittedRegion: "other", isTaken: false },
    { regions: ["other"], isTaken: false },
  ];

for (const { isTaken, ...restriction } of RESTRICTIONS) {
  const { regions, submittedRegion = "an earlier program" } = restriction;
  test(`a restarted process takes over a step that may use ${regions} and is from ${submittedRegion}: ${isTaken}`, async (t) => {
    const earlier = toProcessIdentity("front-1", "earlier");
    const owner = await findOwnerAfterStart(earlier, restriction);
    t.is(owner, isTaken ? "front-1/later" : "front-1/earlier");
  });
}
