import type { NodeRecord } from "./node_record.ts";

/** Nodes with less than this share of the largest processor capacity are used only when others are lost. */
const MINIMUM_CAPACITY_SHARE = 0.6;
/** With fewer nodes, losing some of them would reduce the capacity too much. */
const MINIMUM_NODES = 6;

/** The part of a node's record that states its capacity. */
export type NodeCapacity = Pick<NodeRecord, "processorShare">;

/** Whether a node's processor capacity is close to that of the largest node. */
export function isHighCapacity(
  node: NodeCapacity,
  all: ReadonlyArray<NodeCapacity>,
): boolean {
  const largest = Math.max(...all.map((each) => each.processorShare));
  return node.processorShare >= MINIMUM_CAPACITY_SHARE * largest;
}

/**
 * Selects the nodes that should get callers and steps: the serving nodes with high capacity.
 * @param running - The running nodes.
 * @returns All serving nodes when fewer than six of them have high capacity.
 */
export function selectHighCapacityNodes(
  running: ReadonlyArray<NodeRecord>,
): ReadonlyArray<NodeRecord> {
  const serving = running.filter(({ isServing }) => isServing);
  const highCapacity = serving.filter((node) => isHighCapacity(node, serving));
  return highCapacity.length >= MINIMUM_NODES ? highCapacity : serving;
}
