import type { RandomSource } from "../utilities/random_source.ts";

const FULL_LOAD_PERMILLE = 1000;
const MINIMUM_WEIGHT_PERMILLE = 50;

/** A node that may appear in an address response. */
export interface ListedNode {
  readonly node: string;
  /** Address for callers, as HOST:PORT. */
  readonly address: string;
  readonly failureDomain: string;
  readonly leaving: boolean;
  /** Share of the node's capacity in use, in permille. */
  readonly loadPermille: number;
}

/**
 * Orders nodes for one caller: nodes of the caller's failure domain first, then the others; both groups are in
 * a random order that is weighted by free capacity. Leaving nodes are omitted.
 * @param nodes - The nodes that callers can reach, leaving ones included.
 * @param options - The caller's failure domain, which is empty if unknown, and the source of random numbers.
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
      group: node.failureDomain === options.failureDomain ? 0 : 1,
      score: drawScore(node, options.random),
    }))
    .sort((left, right) => left.group - right.group || left.score - right.score)
    .map(({ node }) => node);
}

// Draws from an exponential distribution whose rate is the weight, so that the probability of the lowest score
// is proportional to the weight.
function drawScore(node: ListedNode, random: RandomSource): number {
  const freePermille = FULL_LOAD_PERMILLE - node.loadPermille;
  const weightPermille = Math.max(MINIMUM_WEIGHT_PERMILLE, freePermille);
  return -Math.log(1 - random.next()) / weightPermille;
}
