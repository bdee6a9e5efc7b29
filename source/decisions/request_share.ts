/**
 * Least rate at which a server with a limit gets requests, so that its answers tell when the limit
 * is lifted.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.25;
/** Number of equal shares from which a node that sent nothing recently starts. */
const INITIAL_SHARES = 2;
/** Number of idle nodes, beyond one for each request a second, that may send a request at once. */
const READY_NODES = 2;

/** How the nodes use a server that has named a limit; rates are requests a second. */
export interface LimitUse {
  /** Rate that the server accepts from all nodes together. */
  readonly limit: number;
  /** Rates that the other active nodes need. */
  readonly otherDemands: ReadonlyArray<number>;
  /** Number of nodes that may send requests, this one included. */
  readonly nodes: number;
  /** Position of this node among them, from 0; differs from server to server. */
  readonly rank: number;
  /** Whether this node has been active for long enough that the other nodes know it. */
  readonly isKnown: boolean;
  /** Whether requests have waited at this node for long enough that the other nodes know it. */
  readonly isNeedKnown: boolean;
  /** Rate at which this node sent requests recently. */
  readonly ownRate: number;
}

/** What one node may send to a server with a limit. */
export interface RequestShare {
  readonly requestsPerSecond: number;
  /** Part of a request that the node may save up while it sends none, up to 1. */
  readonly maximumSaved: number;
}

/**
 * Returns a node's share of the rate that a server accepts from all nodes together.
 *
 * Load pattern: samples arrive in bursts at a few nodes and calls one by one at all of them, while the
 * nodes learn of each other's demand with a delay. What some nodes do not need goes to the others in
 * equal parts. A node that begins to send gets a small share, which grows to what the others leave
 * over once they have learned of its need, so that nodes which begin together do not each take the
 * whole limit. With more nodes than the server accepts in a moment, only some may send at once after
 * a pause; the others wait for different times, so that their requests do not arrive together.
 * @example
 * ```ts
 * const share = shareRequests({
 *   limit: 6, otherDemands: [1, 9], nodes: 3, rank: 0, isKnown: true, isNeedKnown: false, ownRate: 2,
 * });
 * ```
 */
export function shareRequests(
  { limit, otherDemands, nodes, rank, isKnown, isNeedKnown, ownRate }: LimitUse,
): RequestShare {
  const rate = toUsableRate(limit);
  const ready = Math.min(nodes, Math.floor(rate) + READY_NODES);
  const maximumSaved = rank < ready ? 1 : (nodes - rank - 1) / (nodes - ready);
  if (!isKnown) return { requestsPerSecond: rate / nodes, maximumSaved };
  const unused = divideEqually(rate, otherDemands);
  if (isNeedKnown) return { requestsPerSecond: unused, maximumSaved };
  const equal = rate / (otherDemands.length + 1);
  const requestsPerSecond = Math.min(unused, INITIAL_SHARES * equal + ownRate);
  return { requestsPerSecond, maximumSaved };
}

/** Returns the rate at which all nodes together use a limit: the limit, but never 0. */
export function toUsableRate(limit: number): number {
  return Math.max(MINIMUM_REQUESTS_PER_SECOND, limit);
}

// Returns what is left of a rate for a node of unlimited demand when each node gets as much as the
// others or as it needs.
function divideEqually(rate: number, demands: ReadonlyArray<number>): number {
  const ascending = [...demands].sort((left, right) => left - right);
  let left = rate;
  let nodes = ascending.length + 1;
  for (const demand of ascending) {
    if (demand >= left / nodes) break;
    left -= demand;
    nodes -= 1;
  }
  return left / nodes;
}
