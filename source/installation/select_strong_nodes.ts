import type { NodeRecord } from "./node_register.ts";

/** Nodes with less than this share of the strongest one's processor serve only when others are lost. */
const LEAST_SHARE = 0.6;
/** Fewer would make the loss of some of them felt. */
const LEAST_NODES = 6;

/**
 * Selects the nodes that should get callers and steps: those that serve and are strong enough.
 * @param running - The nodes that run.
 * @returns All that serve where fewer than six are strong.
 */
export function selectStrongNodes(
  running: ReadonlyArray<NodeRecord>,
): ReadonlyArray<NodeRecord> {
  const serving = running.filter(({ isServing }) => isServing);
  const strongest = Math.max(...serving.map((node) => node.processorShare));
  const strong = serving.filter((node) =>
    node.processorShare >= LEAST_SHARE * strongest
  );
  return strong.length >= LEAST_NODES ? strong : serving;
}
