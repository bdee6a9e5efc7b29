import type { HeartbeatRead, NodeRecord } from "./node_record.ts";
import type { LimitNews } from "./server_limits.ts";
import type { DemandNews } from "./demand_claims.ts";

/** The running nodes, as the register knows them. */
export interface RunningNodes {
  /** All running nodes, this one included. */
  readonly running: ReadonlyArray<NodeRecord>;
  /** The other running nodes. */
  readonly others: ReadonlyArray<NodeRecord>;
}

/**
 * Extracts what the limits of servers need from the records of the running nodes. Any serving node
 * may send requests to any server, also those that callers are not told of.
 */
export function toLimitNews({ running, others }: RunningNodes): LimitNews {
  const serving = running.filter(({ isServing }) => isServing);
  return {
    records: others.flatMap(({ limits }) => limits),
    nodes: serving.map(({ node }) => node).sort(),
    heartbeatMilliseconds: Math.max(
      0,
      ...others.filter(({ limits }) => limits.length > 0)
        .map(({ heartbeatMilliseconds }) => heartbeatMilliseconds),
      ...running.filter((record) => !others.includes(record))
        .map(({ heartbeatMilliseconds }) => heartbeatMilliseconds),
    ),
  };
}

/** The running nodes, and this node's last heartbeat that was read back. */
export interface HeardNodes extends RunningNodes {
  readonly ownHeartbeat: HeartbeatRead | undefined;
}

/** Extracts what the limits of servers in warm-up need from the records of the running nodes. */
export function toDemandNews(
  { running, others, ownHeartbeat }: HeardNodes,
): DemandNews {
  return {
    own: ownHeartbeat === undefined ? undefined : {
      demands: ownHeartbeat.record.demands ?? new Map(),
      heartbeatMilliseconds: ownHeartbeat.record.heartbeatMilliseconds,
      readAt: ownHeartbeat.sentAt,
    },
    others: new Map(
      others.map(({ node, demands }) => [node, demands ?? new Map()]),
    ),
    nodes: running.filter(({ isServing }) => isServing).map(({ node }) => node),
    heartbeatMilliseconds: Math.max(
      0,
      ...running.map(({ heartbeatMilliseconds }) => heartbeatMilliseconds),
    ),
  };
}
