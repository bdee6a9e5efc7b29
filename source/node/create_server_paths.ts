import type { OperatorView } from "../installation/operator_view.ts";
import { ServerCheck } from "../installation/server_check.ts";
import { ServerPaths } from "../installation/server_paths.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { WarmUps } from "./create_warm_ups.ts";
import type { InstallationNodeOptions } from "./installation_node_options.ts";

/** What the check of the paths to servers needs of the other parts of a node. */
export interface ServerPathParts {
  readonly random: RandomSource;
  readonly operator: OperatorView;
  readonly servers: ServerView;
  readonly warmUps: WarmUps;
}

/** What tells whether this node reaches the servers. */
export interface ServerReachability {
  readonly serverCheck: ServerCheck;
  readonly serverPaths: ServerPaths;
}

/**
 * Creates the health checks of servers and the record of whether this node reaches them, and feeds it
 * from the answers.
 * @example
 * ```ts
 * const { serverCheck, serverPaths } = createServerPaths(options, {
 *   random,
 *   operator,
 *   servers,
 *   warmUps,
 * });
 * ```
 */
export function createServerPaths(
  { adapters, clock, log, stopping }: InstallationNodeOptions,
  { random, operator, servers, warmUps }: ServerPathParts,
): ServerReachability {
  const { client } = adapters;
  const findHealthPath = (service: string): string | undefined =>
    operator.configuration?.services.get(service)?.healthPath;
  const serverCheck = new ServerCheck({
    client,
    findHealthPath,
    isEvacuated: (server) => servers.isEvacuated(server),
    onCheck: (identifier) => warmUps.limits.recordRequest(identifier),
  });
  const serverPaths = new ServerPaths({
    clock,
    log,
    random,
    check: serverCheck,
    listServers: () =>
      warmUps.preferWarm(
        [...servers.servers.values()].filter(({ identifier, service }) =>
          servers.isServing(identifier) && findHealthPath(service) !== undefined
        ),
      ),
    stopping,
  });
  client.watchLimits(() => serverPaths.recordAnswer());
  client.watchFailures((cause) => serverPaths.recordFailure(cause));
  return { serverCheck, serverPaths };
}
