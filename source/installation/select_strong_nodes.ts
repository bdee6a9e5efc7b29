import type { NodeRecord } from "./node_record.ts";

/** Nodes with less than this share of the strongest one's processor serve only when others are lost. */
const LEAST_SHARE = 0.6;
/** Fewer would make the loss of some of them felt. */
const LEAST_NODES = 6;

/** A node's part of what decides how strong it is. */
export type NodeStrength = Pick<NodeRecord, "processorShare">;

/** Whether a node is about as strong as the strongest one. */
export function isStrong(
  node: NodeStrength,
  all: ReadonlyArray<NodeStrength>,
): boolean {
  const strongest = Math.max(...all.map((each) => each.processorShare));
  return node.processorShare >= LEAST_SHARE * strongest;
}

/**
 * Selects the nodes that should get callers and steps: those that serve and are strong enough.
 * @param running - The nodes that run.
 * @returns All that serve where fewer than six are strong.
 */
export function selectStrongNodes(
  running: ReadonlyArray<NodeRecord>,
): ReadonlyArray<NodeRecord> {
  const serving = running.filter(({ isServing }) => isServing);
  const strong = serving.filter((node) => isStrong(node, serving));
  return strong.length >= LEAST_NODES ? strong : serving;
}
