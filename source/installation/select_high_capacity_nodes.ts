import type { NodeRecord } from "./node_record.ts";

/**
 * Minimum processor capacity of a high-capacity node, as a share of the largest one. Nodes below it
 * are used only when there are too few high-capacity nodes.
 */
const MINIMUM_CAPACITY_SHARE = 0.6;
/**
 * Minimum number of high-capacity nodes with which only these are selected. With fewer nodes,
 * losing some of them would reduce the capacity too much.
 */
export const MINIMUM_HIGH_CAPACITY_NODES = 6;

/** The part of a node's record that states its capacity. */
export type NodeCapacity = Pick<NodeRecord, "processorShare">;

/** Returns the nodes whose capacity is at least `MINIMUM_CAPACITY_SHARE` of the largest one. */
export function filterHighCapacity<Node extends NodeCapacity>(
  all: ReadonlyArray<Node>,
): ReadonlyArray<Node> {
  let largest = 0;
  for (const { processorShare } of all) {
    largest = Math.max(largest, processorShare);
  }
  return all.filter(({ processorShare }) =>
    processorShare >= MINIMUM_CAPACITY_SHARE * largest
  );
}

/**
 * Selects the nodes that should get callers and steps: the serving nodes with high capacity that reach
 * servers, or all if none does.
 * @param running - The running nodes.
 * @returns The selected nodes; those of any capacity when fewer than six of them have high capacity.
 */
export function selectHighCapacityNodes(
  running: ReadonlyArray<NodeRecord>,
): ReadonlyArray<NodeRecord> {
  const all = running.filter(({ isServing }) => isServing);
  const connected = all.filter(({ isCutOff }) => !isCutOff);
  const serving = connected.length > 0 ? connected : all;
  const highCapacity = filterHighCapacity(serving);
  return highCapacity.length >= MINIMUM_HIGH_CAPACITY_NODES
    ? highCapacity
    : serving;
}
