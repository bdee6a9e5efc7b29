import type { RandomSource } from "../utilities/random_source.ts";

const FULL_LOAD_PERMILLE = 1000;
const MINIMUM_WEIGHT_PERMILLE = 50;

/** A node that callers may use. */
export interface ListedNode {
  readonly node: string;
  /** HOST:PORT for callers. */
  readonly address: string;
  readonly failureDomain: string;
  readonly leaving: boolean;
  readonly loadPermille: number;
}

/**
 * Orders nodes for one caller: those of its failure domain first, and within each part at random,
 * less loaded ones more often in front. Leaving nodes are left out.
 * @param nodes - All live nodes.
 * @param options - The caller's failure domain, empty for unknown, and the source of random numbers.
 * @example
 * ```ts
 * const ordered = orderAddresses(nodes, { failureDomain: "cluj-a", random });
 * ```
 */
export function orderAddresses(
  nodes: ReadonlyArray<ListedNode>,
  options: { readonly failureDomain: string; readonly random: RandomSource },
): ReadonlyArray<ListedNode> {
  return nodes
    .filter((node) => !node.leaving)
    .map((node) => ({
      node,
      distance: node.failureDomain === options.failureDomain ? 0 : 1,
      score: drawScore(node, options.random),
    }))
    .sort((left, right) =>
      left.distance - right.distance || left.score - right.score
    )
    .map(({ node }) => node);
}

// An exponential draw with the weight as its rate: the smallest of several is each one's in
// proportion to its weight.
function drawScore(node: ListedNode, random: RandomSource): number {
  const free = FULL_LOAD_PERMILLE - node.loadPermille;
  const weight = Math.max(MINIMUM_WEIGHT_PERMILLE, free);
  return -Math.log(1 - random.next()) / weight;
}
