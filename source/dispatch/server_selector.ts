import type {
  BackendServerState,
  BackendServerView,
} from "../backends/backend_server_state.ts";
import type { NodeContext } from "../context/node_context.ts";
import type {
  RoutingChoice,
  RoutingPolicy,
} from "../routing/routing_policy.ts";
import type { Placement } from "../routing/placement.ts";
import type { RoutingStatistics } from "../routing/server_experience.ts";

/** What a server selector needs. */
export interface ServerSelectorOptions {
  readonly context: NodeContext;
  readonly servers: BackendServerView;
  readonly statistics: RoutingStatistics;
  readonly policy: RoutingPolicy;
}

/** What a server must meet. */
export interface ServerDemands {
  readonly placement: Placement;
  /** 0 for any version. */
  readonly minimumWeightVersion: number;
  /** Servers that must not be used. */
  readonly avoid: ReadonlyArray<string>;
  /** Servers used only when there is no other. */
  readonly tried: ReadonlyArray<string>;
}

/** Chooses servers that may get work at this moment. */
export class ServerSelector {
  readonly #options: ServerSelectorOptions;

  /** @param options - View, policy and knowledge. */
  constructor(options: ServerSelectorOptions) {
    this.#options = options;
  }

  /** Chooses a server; undefined when none meets the demands. */
  select(demands: ServerDemands): RoutingChoice | undefined {
    const usable = this.#usable(demands);
    const fresh = usable.filter(({ address }) =>
      !demands.tried.includes(address)
    );
    const candidates = fresh.length > 0 ? fresh : usable;
    if (candidates.length === 0) return undefined;
    const { context, statistics, policy } = this.#options;
    return policy.choose(candidates, demands.placement, {
      failureDomain: context.settings.failureDomain,
      now: context.clock.monotonic(),
      random: context.random,
      statistics,
    });
  }

  #usable(demands: ServerDemands): ReadonlyArray<BackendServerState> {
    const { servers } = this.#options;
    return servers.servers(demands.placement.service).filter((server) =>
      !server.leaving && server.reachable &&
      servers.isAvailable(server.address) &&
      !demands.avoid.includes(server.address) &&
      hasVersion(server, demands.minimumWeightVersion)
    );
  }
}

function hasVersion(server: BackendServerState, minimum: number): boolean {
  if (minimum === 0) return true;
  return server.weightVersions.some((version) => version >= minimum);
}
