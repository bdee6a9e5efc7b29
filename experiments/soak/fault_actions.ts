import type { RunningProcess } from "../deployment/child_process.ts";
import type {
  Deployment,
  RunningNode,
  RunningServer,
} from "../deployment/deployment.ts";
import { raceConfigurations, replaceKey } from "./actors/operator.ts";
import type { HeldKey } from "./actors/caller.ts";
import type { BackendRecords } from "./evidence.ts";
import type { ScheduledFault, SoakFaultKind } from "./fault_schedule.ts";
import type { Journal, SeenFault } from "./journal.ts";

const SLOW_ANSWER_MILLISECONDS = 1500;
const LEAVE_REST_MILLISECONDS = 6000;

/** What faults act upon. */
export interface FaultContext {
  readonly deployment: Deployment;
  readonly journal: Journal;
  readonly records: BackendRecords;
  /** Keys that operators withdraw in turn. */
  readonly replaceableKeys: ReadonlyArray<
    { readonly key: HeldKey; readonly organisation: string }
  >;
  /** Two declarations that operators race with. */
  readonly declarations: ReadonlyArray<string>;
  /** Names of processes that a fault has hold of. */
  readonly busy: Set<string>;
}

type Action = (context: FaultContext, fault: ScheduledFault) => Promise<void>;

/** Brings each kind of fault about, and ends it. */
export const FAULT_ACTIONS: Readonly<Record<SoakFaultKind, Action>> = {
  nodeKill: (context, fault) =>
    withNode(context, fault, async (node, index) => {
      await node.process.end("SIGKILL");
      await sleep(fault.lasts);
      await context.deployment.startNode(index);
    }),
  nodePause: (context, fault) =>
    withNode(context, fault, async (node) => {
      await pauseProcess(node.process, fault.lasts);
    }),
  nodeDrain: (context, fault) =>
    withNode(context, fault, async (node, index) => {
      const from = context.journal.now();
      const exitStatus = await node.process.end("SIGTERM");
      context.journal.drains.push({
        node: node.name,
        address: node.callerAddress,
        from,
        to: context.journal.now(),
        exitStatus,
        lines: node.process.lines,
      });
      await sleep(fault.lasts);
      await context.deployment.startNode(index);
    }),
  platformDown: (context, fault) =>
    withPlatformFault(context, fault, { path: "/", fault: "down" }),
  platformSlow: (context, fault) =>
    withPlatformFault(context, fault, {
      path: "/",
      fault: "slow",
      milliseconds: SLOW_ANSWER_MILLISECONDS,
    }),
  platformLoseAnswers: (context, fault) =>
    withPlatformFault(context, fault, { path: "/", fault: "loseAnswer" }),
  platformFreezeConnections: (context, fault) =>
    withPlatformFault(context, fault, {
      path: "/",
      fault: "freeze",
      existing: true,
    }),
  serverKill: (context, fault) =>
    withServer(context, fault, async (server) => {
      await context.records.collect(server);
      await server.process.end("SIGKILL");
      await sleep(fault.lasts);
      await context.deployment.restartServer(server);
    }),
  serverPause: (context, fault) =>
    withServer(context, fault, async (server) => {
      await pauseProcess(server.process, fault.lasts);
    }),
  serverFreezeConnections: (context, fault) =>
    withServer(context, fault, async (server) => {
      await context.deployment.setFault(server.address, {
        path: "/",
        fault: "freeze",
        existing: true,
      });
    }),
  serverErrors: (context, fault) =>
    withServer(context, fault, async (server) => {
      await context.deployment.setFault(server.address, {
        path: "/v1",
        fault: "error",
      });
      await sleep(fault.lasts);
      await context.deployment.clearFaults(server.address);
    }),
  serverLeave: (context, fault) =>
    withServer(context, fault, async (server) => {
      await fetch(`http://${server.address}/leaving`, { method: "POST" });
      await sleep(LEAVE_REST_MILLISECONDS + fault.lasts);
      await context.records.collect(server);
      await server.process.end("SIGKILL");
      await context.deployment.restartServer(server);
    }),
  keyWithdrawal: async (context, fault) => {
    const keys = context.replaceableKeys;
    const held = keys[Math.floor(fault.at) % keys.length];
    if (held === undefined || context.busy.has(held.organisation)) return;
    context.busy.add(held.organisation);
    await noting(
      context,
      fault,
      held.organisation,
      () => replaceKey(context.deployment, held, context.journal),
    );
    context.busy.delete(held.organisation);
  },
  configurationRace: (context, fault) =>
    noting(context, fault, "configuration", () =>
      raceConfigurations(
        context.deployment,
        context.declarations,
        context.journal,
      )),
};

async function withNode(
  context: FaultContext,
  fault: ScheduledFault,
  act: (node: RunningNode, index: number) => Promise<void>,
): Promise<void> {
  const node = context.deployment.nodes[fault.target];
  if (node === undefined || context.busy.has(node.name)) return;
  context.busy.add(node.name);
  await noting(context, fault, node.name, () => act(node, fault.target));
  context.busy.delete(node.name);
}

async function withServer(
  context: FaultContext,
  fault: ScheduledFault,
  act: (server: RunningServer) => Promise<void>,
): Promise<void> {
  const server = context.deployment.servers[fault.target];
  if (server === undefined || context.busy.has(server.name)) return;
  context.busy.add(server.name);
  await noting(context, fault, server.address, () => act(server));
  context.busy.delete(server.name);
}

async function withPlatformFault(
  context: FaultContext,
  fault: ScheduledFault,
  wanted: Readonly<Record<string, unknown>>,
): Promise<void> {
  if (context.busy.has("platform")) return;
  context.busy.add("platform");
  const address = context.deployment.platformAddress;
  await noting(context, fault, "platform", async () => {
    await context.deployment.setFault(address, wanted);
    await sleep(fault.lasts);
    await context.deployment.clearFaults(address);
  });
  context.busy.delete("platform");
}

async function noting(
  context: FaultContext,
  fault: ScheduledFault,
  target: string,
  act: () => Promise<void>,
): Promise<void> {
  const { journal } = context;
  const seen: SeenFault = {
    kind: fault.kind,
    target,
    from: journal.now(),
    to: Number.POSITIVE_INFINITY,
  };
  journal.faults.push(seen);
  await act();
  seen.to = journal.now();
}

async function pauseProcess(
  paused: RunningProcess,
  milliseconds: number,
): Promise<void> {
  paused.child.kill("SIGSTOP");
  await sleep(milliseconds);
  paused.child.kill("SIGCONT");
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
