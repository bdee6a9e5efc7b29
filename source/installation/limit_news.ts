import type { NodeRecord } from "./node_record.ts";
import type { LimitNews } from "./server_limits.ts";

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
