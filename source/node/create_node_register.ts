import { UsageMeter } from "../duties/usage_meter.ts";
import type { EngineUseExchange } from "../durable_steps/engine_use_exchange.ts";
import { isWallOffsetPublished } from "../installation/is_wall_offset_published.ts";
import { NodeRegister } from "../installation/node_register.ts";
import type { ServerLimits } from "../installation/server_limits.ts";
import type { ServerPaths } from "../installation/server_paths.ts";
import type { ServerView } from "../installation/server_view.ts";
import { SharedClock } from "../installation/shared_clock.ts";
import type { WarmUpLimits } from "../installation/warm_up_limits.ts";
import type { WorkSharing } from "../installation/work_sharing.ts";
import type { InstallationNode } from "./installation_node.ts";
import type {
  CommonDependencies,
  InstallationNodeOptions,
} from "./installation_node_options.ts";

/** What the heartbeats of a node need of its other parts. */
export interface NodeRegisterParts {
  readonly common: CommonDependencies;
  readonly servers: ServerView;
  readonly serverPaths: ServerPaths;
  readonly engineUseExchange: EngineUseExchange;
  readonly limits: ServerLimits;
  readonly warmUpLimits: WarmUpLimits;
  readonly work: WorkSharing;
  /** Returns the node; undefined until it is created. */
  readonly findNode: () => InstallationNode | undefined;
}

/** The register of nodes and the parts that both need it and are published by it. */
export interface RegisterAndClock {
  readonly register: NodeRegister;
  /** Clock whose wall time is close to that of the other nodes. */
  readonly sharedClock: SharedClock;
  readonly usage: UsageMeter;
}

/**
 * Creates the register of nodes with what this node publishes, the clock that the nodes share and the
 * meter of usage.
 * @example
 * ```ts
 * const { register, sharedClock, usage } = createNodeRegister(options, parts);
 * ```
 */
export function createNodeRegister(
  { settings, adapters, nodeStart, clock }: InstallationNodeOptions,
  parts: NodeRegisterParts,
): RegisterAndClock {
  const { common, servers, serverPaths, engineUseExchange, limits } = parts;
  const { warmUpLimits, work, findNode } = parts;
  const sharedClock = new SharedClock({
    clock,
    otherOffsets: () =>
      register.others.flatMap(({ wallOffset }) => wallOffset ?? []),
  });
  adapters.watchStoreTime((milliseconds) =>
    sharedClock.recordStoreTime(milliseconds)
  );
  const usage = new UsageMeter({
    ...common,
    clock: sharedClock,
    nodeStart,
    windowMilliseconds: settings.bounds.usageWindowMilliseconds,
  });
  const register = new NodeRegister({
    ...common,
    self: () => ({
      node: settings.node,
      nodeStart,
      failureDomain: settings.failureDomain,
      processorShare: settings.processorShare,
      callerAddress: settings.callerAddress,
      peerAddress: settings.peerAddress,
      isCutOff: serverPaths.isCutOff,
      isRunningSteps: (findNode()?.parts.steps.running ?? 0) > 0,
      engineUse: engineUseExchange.toRecord(),
      isServing: findNode()?.isReady ?? false,
      leavingServers: servers.leavingWithoutEntry,
      limits: limits.toRecords(),
      demands: warmUpLimits.toDemands(),
      work: work.toRecord(),
      wallOffset: isWallOffsetPublished(clock)
        ? sharedClock.ownOffset
        : undefined,
      usageSettledThrough: usage.settledThrough,
    }),
  });
  return { register, sharedClock, usage };
}
