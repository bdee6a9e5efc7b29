import type { ServerClient } from "../backends/server_client.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { InstallationSettings } from "../installation/installation_settings.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import { ServerWarmUps } from "../installation/server_warm_ups.ts";
import type { ServerView } from "../installation/server_view.ts";
import { WarmUpLimits } from "../installation/warm_up_limits.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";

/** Maximum time for which the report of a server in warm-up is held back. */
const MAXIMUM_REPORT_WAIT_MILLISECONDS = 1500;

/** The sources of warm-ups. */
export interface WarmUpSources {
  readonly settings: Pick<InstallationSettings, "node" | "bounds">;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly servers: ServerView;
  readonly operator: OperatorView;
  readonly client: Pick<ServerClient, "watchWarmUps">;
  /** Called when requests may be sent that had to wait before. */
  readonly onMoreRoom: () => void;
  readonly stopping: AbortSignal;
}

/** The limits of servers in warm-up, for the parts of a node that send requests. */
export interface WarmUps {
  readonly limits: WarmUpLimits;
  /**
   * Waits until a server in warm-up accepts one more request, at most for some time.
   * @returns Whether it accepts one.
   */
  readonly waitForRoom: (identifier: string) => Promise<boolean>;
  /**
   * Returns the servers that are not in warm-up, or all of them if these are too few to tell whether
   * the node reaches any; a check counts for the rate of a server in warm-up.
   */
  readonly preferWarm: (
    servers: ReadonlyArray<BackendServerEntry>,
  ) => ReadonlyArray<BackendServerEntry>;
}

/**
 * Creates the limits of servers in warm-up, and feeds them from the tables and the health checks. Must
 * be called before other parts watch the tables, so that a limit holds before requests are sent.
 * @example
 * ```ts
 * const warmUps = createWarmUps({ ...options, servers, operator, client, onMoreRoom });
 * ```
 */
export function createWarmUps(sources: WarmUpSources): WarmUps {
  const { settings, clock, servers, operator, client, onMoreRoom } = sources;
  const limits = new WarmUpLimits({
    node: settings.node,
    clock,
    bounds: settings.bounds,
    findService: (identifier) => {
      const service = servers.servers.get(identifier)?.service ?? "";
      const { warmUp } = operator.configuration?.services.get(service) ?? {};
      return warmUp === undefined ? undefined : service;
    },
    onMoreRoom,
  });
  const warmUps = new ServerWarmUps({ ...sources, limits });
  servers.watch(() => warmUps.updateServers());
  operator.watch(() => warmUps.updateOperator());
  client.watchWarmUps((server, milliseconds) =>
    warmUps.recordHealthCheck(server, milliseconds)
  );
  return {
    limits,
    waitForRoom: (identifier) => waitForRoom({ limits, clock }, identifier),
    preferWarm: (candidates) => preferWarm(candidates, limits),
  };
}

// Waits until a server in warm-up accepts one more request, unless that takes too long.
async function waitForRoom(
  { limits, clock }: { readonly limits: WarmUpLimits; readonly clock: Clock },
  identifier: string,
): Promise<boolean> {
  const wait = limits.getWait(identifier);
  if (wait > MAXIMUM_REPORT_WAIT_MILLISECONDS) return false;
  if (wait > 0) await clock.sleep(wait);
  return true;
}

function preferWarm(
  servers: ReadonlyArray<BackendServerEntry>,
  limits: WarmUpLimits,
): ReadonlyArray<BackendServerEntry> {
  const warm = servers.filter(({ identifier }) => !limits.has(identifier));
  return warm.length > 1 ? warm : servers;
}
