import type { OperatorView } from "../installation/operator_view.ts";
import { ServerLimits } from "../installation/server_limits.ts";
import type { ServerView } from "../installation/server_view.ts";
import { createWarmUps, type WarmUps } from "./create_warm_ups.ts";
import type { InstallationNodeOptions } from "./installation_node_options.ts";

/** The limits on the requests that servers get. */
export interface RequestLimits {
  readonly warmUps: WarmUps;
  /** Limits that servers named, and those of servers in warm-up. */
  readonly limits: ServerLimits;
}

/**
 * Creates the limits on the requests that servers get, and feeds them and the evacuations from the
 * tables and the answers. Must be called before other parts watch the tables, so that limits and
 * evacuations hold before requests are sent.
 * @example
 * ```ts
 * const { warmUps, limits } = createRequestLimits(options, { operator, servers });
 * ```
 */
export function createRequestLimits(
  options: InstallationNodeOptions,
  { operator, servers }: {
    readonly operator: OperatorView;
    readonly servers: ServerView;
  },
): RequestLimits {
  const { settings, adapters, clock, log } = options;
  const { client } = adapters;
  const warmUps = createWarmUps({
    ...options,
    servers,
    operator,
    client,
    onMoreRoom: () => limits.notify(),
  });
  // Before the other watchers, so that nothing uses a configuration without its evacuations, and after
  // the warm-ups, so that servers whose evacuation ends are limited before they get requests.
  operator.watch(() => servers.setEvacuatedDomains(operator.evacuatedDomains));
  const limits = new ServerLimits({
    node: settings.node,
    clock,
    log,
    warmUps: warmUps.limits,
  });
  client.watchLimits((server, requestsPerSecond) =>
    limits.recordAnswer(server, requestsPerSecond)
  );
  servers.watch(() =>
    limits.removeUnregistered((identifier) => servers.servers.has(identifier))
  );
  return { warmUps, limits };
}
