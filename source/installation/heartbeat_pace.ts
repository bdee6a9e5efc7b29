/**
 * Minimum interval between two heartbeats. A node counts as lost after about three intervals
 * without a heartbeat; until then its steps make no progress.
 */
const MINIMUM_HEARTBEAT_MILLISECONDS = 300;
/**
 * Maximum number of heartbeats of all nodes together; limited because each node reads all of them.
 */
export const HEARTBEATS_PER_SECOND = 120;
/**
 * Share of the heartbeats that the high-capacity nodes send when there are low-capacity nodes;
 * it is the larger share because high-capacity nodes run the steps.
 */
const HIGH_CAPACITY_HEARTBEAT_SHARE = 0.7;

/** The nodes that share the heartbeats. */
export interface Fleet {
  /** Number of nodes. */
  readonly size: number;
  /** Number of nodes with high capacity. */
  readonly highCapacity: number;
  readonly isOwnCapacityHigh: boolean;
}

/** Returns the interval between two heartbeats of a node, in milliseconds. */
export function toHeartbeatInterval(
  { size, highCapacity, isOwnCapacityHigh }: Fleet,
): number {
  const lowCapacity = size - highCapacity;
  if (lowCapacity === 0) return toInterval(size, HEARTBEATS_PER_SECOND);
  const share = isOwnCapacityHigh
    ? HIGH_CAPACITY_HEARTBEAT_SHARE
    : 1 - HIGH_CAPACITY_HEARTBEAT_SHARE;
  const count = isOwnCapacityHigh ? highCapacity : lowCapacity;
  return toInterval(count, share * HEARTBEATS_PER_SECOND);
}

/**
 * Returns the interval at which nodes send a number of heartbeats together, in milliseconds.
 * @param nodes - Number of nodes.
 * @param heartbeatsPerSecond - Number of heartbeats a second of all of them.
 */
export function toInterval(nodes: number, heartbeatsPerSecond: number): number {
  return Math.max(
    MINIMUM_HEARTBEAT_MILLISECONDS,
    1000 * nodes / heartbeatsPerSecond,
  );
}
