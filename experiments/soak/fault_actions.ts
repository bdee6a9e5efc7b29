import type { RunningProcess } from "../deployment/child_process.ts";
import type {
  Deployment,
  RunningNode,
  RunningServer,
} from "../deployment/deployment.ts";
import { raceConfigurations, replaceKey } from "./actors/operator.ts";
import type { CallerKey } from "./actors/caller.ts";
import type { BackendRequestCollector } from "./evidence.ts";
import type { ScheduledFault, SoakFaultKind } from "./fault_schedule.ts";
import type { InjectedFault, Journal } from "./journal.ts";

const SLOW_RESPONSE_MILLISECONDS = 1500;
const DRAIN_MILLISECONDS = 6000;

/** Deployment and records that fault actions work with. */
export interface FaultContext {
  readonly deployment: Deployment;
  readonly journal: Journal;
  readonly requestCollector: BackendRequestCollector;
  /** Keys that operators withdraw and replace in turn. */
  readonly replaceableKeys: ReadonlyArray<
    { readonly key: CallerKey; readonly organisation: string }
  >;
  /** Paths of two declarations that operators apply at the same time. */
  readonly declarations: ReadonlyArray<string>;
  /** Names of the processes, the platform and the organisations that a running fault affects. */
  readonly busyTargets: Set<string>;
}

type Action = (context: FaultContext, fault: ScheduledFault) => Promise<void>;

/** Actions by kind of fault; each injects the fault and, if the fault has a duration, ends it. */
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
      milliseconds: SLOW_RESPONSE_MILLISECONDS,
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
      await context.requestCollector.collect(server);
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
      await sleep(DRAIN_MILLISECONDS + fault.lasts);
      await context.requestCollector.collect(server);
      await server.process.end("SIGKILL");
      await context.deployment.restartServer(server);
    }),
  keyWithdrawal: async (context, fault) => {
    const keys = context.replaceableKeys;
    const held = keys[Math.floor(fault.at) % keys.length];
    if (held === undefined || context.busyTargets.has(held.organisation)) {
      return;
    }
    context.busyTargets.add(held.organisation);
    await recordFault(
      context,
      fault,
      held.organisation,
      () => replaceKey(context.deployment, held, context.journal),
    );
    context.busyTargets.delete(held.organisation);
  },
  configurationRace: (context, fault) =>
    recordFault(context, fault, "configuration", () =>
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
  if (node === undefined || context.busyTargets.has(node.name)) return;
  context.busyTargets.add(node.name);
  await recordFault(context, fault, node.name, () => act(node, fault.target));
  context.busyTargets.delete(node.name);
}

async function withServer(
  context: FaultContext,
  fault: ScheduledFault,
  act: (server: RunningServer) => Promise<void>,
): Promise<void> {
  const server = context.deployment.servers[fault.target];
  if (server === undefined || context.busyTargets.has(server.name)) return;
  context.busyTargets.add(server.name);
  await recordFault(context, fault, server.address, () => act(server));
  context.busyTargets.delete(server.name);
}

async function withPlatformFault(
  context: FaultContext,
  fault: ScheduledFault,
  wanted: Readonly<Record<string, unknown>>,
): Promise<void> {
  if (context.busyTargets.has("platform")) return;
  context.busyTargets.add("platform");
  const address = context.deployment.platformAddress;
  await recordFault(context, fault, "platform", async () => {
    await context.deployment.setFault(address, wanted);
    await sleep(fault.lasts);
    await context.deployment.clearFaults(address);
  });
  context.busyTargets.delete("platform");
}

async function recordFault(
  context: FaultContext,
  fault: ScheduledFault,
  target: string,
  act: () => Promise<void>,
): Promise<void> {
  const { journal } = context;
  const injected: InjectedFault = {
    kind: fault.kind,
    target,
    from: journal.now(),
    to: Number.POSITIVE_INFINITY,
  };
  journal.faults.push(injected);
  await act();
  injected.to = journal.now();
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
