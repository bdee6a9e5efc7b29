import test from "ava";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { NodeRegister } from "../installation/node_register.ts";
import { toProcessIdentity } from "../installation/process_identity.ts";
import { createRendezvous } from "../membership/rendezvous.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { toStepRowPlace } from "./step_registry.ts";
import { StepSupervisor } from "./step_supervisor.ts";
import type { StepManifest } from "./step_manifest.ts";

/**
 * Time limit of the takeover, shorter than the 600 ms after which a node register counts as
 * current.
 */
const TAKE_OVER_LIMIT_MILLISECONDS = 300;

async function writeStep(
  table: MemoryDurableTable,
  owner: string,
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
  };
  await table.commit({
    conditions: [],
    puts: [{
      ...toStepRowPlace("s1", "manifest"),
      value: Buffer.from(JSON.stringify(manifest)),
    }],
  });
}

async function findOwnerAfterStart(earlierOwner: string): Promise<string> {
  const table = new MemoryDurableTable();
  await writeStep(table, earlierOwner);
  const stopping = new AbortController();
  const tools = createStepTools(table, stopping.signal);
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

test("a restarted process takes over its node's steps at once", async (t) => {
  const earlier = toProcessIdentity("front-1", "earlier");
  t.is(await findOwnerAfterStart(earlier), "front-1/later");
});

test("the steps of another node are not taken over before its failure is detected", async (t) => {
  const other = toProcessIdentity("front-10", "1");
  t.is(await findOwnerAfterStart(other), other);
});
