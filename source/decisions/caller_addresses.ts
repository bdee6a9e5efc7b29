/**
 * Number of nodes of each failure domain that callers are told of. With two failure domains left, it
 * is enough to replace nodes that are lost before the list is renewed.
 */
const NODES_PER_DOMAIN = 4;

/** Number of nodes of a failure domain from which on those that run steps are left out. */
const MINIMUM_WITHOUT_STEPS = 2;

/** A node that callers can connect to. */
export interface AddressedNode {
  readonly node: string;
  readonly failureDomain: string;
  /** Whether the node runs steps. */
  readonly isRunningSteps: boolean;
}

/**
 * Selects the nodes that callers are told to connect to.
 *
 * Load pattern: many nodes and few calls for each. Callers that spread over all nodes make each of
 * them open connections to all servers, which are idle when the next call comes; a few nodes of each
 * failure domain reuse theirs, and the loss of a failure domain leaves enough of them. Nodes that run
 * steps are left out while there are others, so that a lost node costs either steps or calls.
 * @param nodes - The nodes that serve callers, in the same order on all nodes.
 * @returns The selected nodes.
 * @example
 * ```ts
 * const addresses = selectAddressedNodes(nodes).map((node) => node.callerAddress);
 * ```
 */
export function selectAddressedNodes<Node extends AddressedNode>(
  nodes: ReadonlyArray<Node>,
): ReadonlyArray<Node> {
  const byDomain = new Map<string, Node[]>();
  for (const node of nodes) {
    const domain = byDomain.get(node.failureDomain);
    if (domain === undefined) byDomain.set(node.failureDomain, [node]);
    else domain.push(node);
  }
  return [...byDomain.values()].flatMap((domain) => {
    const withoutSteps = domain.filter((node) => !node.isRunningSteps);
    const named = withoutSteps.length >= MINIMUM_WITHOUT_STEPS
      ? withoutSteps
      : domain;
    return named.slice(0, NODES_PER_DOMAIN);
  });
}
