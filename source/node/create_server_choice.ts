import { ServerCallStatistics } from "../calls/server_call_statistics.ts";
import { EnginePool } from "../durable_steps/engine_pool.ts";
import { EngineUseExchange } from "../durable_steps/engine_use_exchange.ts";
import { EngineUseReport } from "../durable_steps/engine_use_report.ts";
import { needsSingleVersion } from "../installation/needs_single_version.ts";
import type { ServerLimits } from "../installation/server_limits.ts";
import type { ServerPaths } from "../installation/server_paths.ts";
import { SlotSharing } from "../installation/slot_sharing.ts";
import type { Rendezvous } from "../membership/rendezvous.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { StoreViews } from "./create_store_views.ts";
import type { InstallationNodeOptions } from "./installation_node_options.ts";

/** What the choice of servers needs of the other parts of a node. */
export interface ServerChoiceParts extends StoreViews {
  readonly random: RandomSource;
  readonly rendezvous: Rendezvous;
  readonly limits: ServerLimits;
  readonly serverPaths: ServerPaths;
}

/** What chooses the servers of calls and the engines of samples. */
export interface ServerChoice {
  /** Chooses servers for calls. */
  readonly statistics: ServerCallStatistics;
  /** Chooses engines for samples. */
  readonly pool: EnginePool;
  readonly engineUseExchange: EngineUseExchange;
}

/**
 * Creates what chooses the servers of calls and the engines of samples. Must be called after
 * `createRequestLimits`, since waiting samples are assigned when the tables change.
 * @example
 * ```ts
 * const { statistics, pool, engineUseExchange } = createServerChoice(options, parts);
 * ```
 */
export function createServerChoice(
  { settings, adapters, clock, log, metrics }: InstallationNodeOptions,
  parts: ServerChoiceParts,
): ServerChoice {
  const { random, rendezvous, operator, servers, limits } = parts;
  const { serverPaths } = parts;
  const { client } = adapters;
  const sharing = new SlotSharing({
    node: settings.node,
    clock,
    rendezvous,
    findService: (server) => servers.servers.get(server)?.service,
  });
  const statistics = new ServerCallStatistics({
    clock,
    random,
    failureDomain: settings.failureDomain,
    limits,
    sharing,
    isConnected: (server) => client.isConnected(server),
  });
  const pool = new EnginePool(clock, {
    servers,
    limits,
    sharing,
    rendezvous,
    report: new EngineUseReport({ metrics, log }),
    isConnected: (engine) => client.isConnected(engine),
    findMemoryTokens: (service) =>
      operator.configuration?.services.get(service)?.engineMemoryTokens ?? 0,
    finishesRunsBeforeLoads: (service) => {
      const { configuration } = operator;
      return configuration !== undefined &&
        needsSingleVersion(configuration, service);
    },
    onQuiet: () => void serverPaths.check(),
  });
  operator.watch(() => pool.restartOutdatedWaits());
  const engineUseExchange = new EngineUseExchange(clock, {
    pool,
    statistics,
    sharing,
  });
  return { statistics, pool, engineUseExchange };
}
