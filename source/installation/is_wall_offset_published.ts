import type { Clock } from "../utilities/clock.ts";

/** Period in which a node publishes the difference of its wall clock for one second. */
const WALL_OFFSET_PERIOD_SECONDS = 8;
/** Time from its start in which a node publishes the difference in each heartbeat. */
const WALL_OFFSET_START_SECONDS = 4;

/**
 * Whether a heartbeat contains the difference of the node's wall clock. Every node reads all heartbeats,
 * so only some of them do, as it rarely changes.
 */
export function isWallOffsetPublished(clock: Clock): boolean {
  const seconds = Math.floor(clock.monotonic() / 1000);
  return seconds < WALL_OFFSET_START_SECONDS ||
    seconds % WALL_OFFSET_PERIOD_SECONDS === 0;
}
