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
import type { RoutingStatistics } from "../routing/routing_statistics.ts";

/** Dependencies of a server selector. */
export interface ServerSelectorOptions {
  readonly context: NodeContext;
  readonly servers: BackendServerView;
  readonly statistics: RoutingStatistics;
  readonly policy: RoutingPolicy;
}

/** Requirements on a server. */
export interface ServerRequirements {
  readonly placement: Placement;
  /** Lowest weight version that a server must have loaded; 0 allows any version. */
  readonly minimumWeightVersion: number;
  /** Addresses of servers to exclude. */
  readonly avoid: ReadonlyArray<string>;
  /** Addresses of servers that were tried already; used only when no other server is suitable. */
  readonly tried: ReadonlyArray<string>;
}

/** Selects a server for work among those that accept new work. */
export class ServerSelector {
  readonly #options: ServerSelectorOptions;

  /** @param options - Server view, routing policy and statistics. */
  constructor(options: ServerSelectorOptions) {
    this.#options = options;
  }

  /** Selects a server; returns undefined when none meets the requirements. */
  select(requirements: ServerRequirements): RoutingChoice | undefined {
    const usable = this.#usable(requirements);
    const untried = usable.filter(({ address }) =>
      !requirements.tried.includes(address)
    );
    const candidates = untried.length > 0 ? untried : usable;
    if (candidates.length === 0) return undefined;
    const { context, statistics, policy } = this.#options;
    return policy.choose(candidates, requirements.placement, {
      failureDomain: context.settings.failureDomain,
      now: context.clock.monotonic(),
      random: context.random,
      statistics,
    });
  }

  #usable(requirements: ServerRequirements): ReadonlyArray<BackendServerState> {
    const { servers } = this.#options;
    return servers.servers(requirements.placement.service).filter((server) =>
      !server.leaving && server.reachable &&
      servers.isAvailable(server.address) &&
      !requirements.avoid.includes(server.address) &&
      hasVersion(server, requirements.minimumWeightVersion)
    );
  }
}

function hasVersion(server: BackendServerState, minimum: number): boolean {
  if (minimum === 0) return true;
  return server.weightVersions.some((version) => version >= minimum);
}
