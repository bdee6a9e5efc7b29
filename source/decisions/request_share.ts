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

/** A node's demand for the servers of a service; a node without recent requests has none. */
export type DemandLevel = "low" | "high";

/** A node that asks for a share of the requests that a server in warm-up accepts. */
export interface Claimant {
  /** Place of the node; the same at all nodes, and different from server to server. */
  readonly order: number;
  readonly demand: DemandLevel;
}

/** How the nodes use a server in warm-up. */
export interface WarmUpUse {
  /** Rate that the server accepts from all nodes together, in requests a second. */
  readonly requestsPerSecond: number;
  /** Maximum number of requests in any second. */
  readonly maximumRequests: number;
  /** This node, with a demand that all nodes in contact know; undefined if they know of none. */
  readonly own: Claimant | undefined;
  readonly others: ReadonlyArray<Claimant>;
  /** Whether this node knows the present demand of the others. */
  readonly isInContact: boolean;
  /** Position of this node among all serving nodes, from 0. */
  readonly rank: number;
}

const NO_SHARE: RequestShare = { requestsPerSecond: 0, maximumSaved: 0 };
/**
 * Part of the maximum for the first of the nodes whose demand the others do not know. It is set aside
 * twice, as nodes that have lost contact and those that have taken their place may use it at once.
 */
const UNKNOWN_PART = 1 / 8;
/** Rate of such a node, low enough for one request in any second. */
const UNKNOWN_REQUESTS_PER_SECOND = 0.9;
/** Largest part of the rest that is used as a rate; what remains covers requests saved up. */
const RATE_PART = 0.7;
/** Part of an equal share that a node of low demand gets beside nodes of high demand. */
const LOW_PART = 0.25;
/** Time for which a busy node saves up its rate while it is not scheduled. */
export const BURST_SECONDS = 0.05;

/**
 * Returns a node's share of the requests that a server in warm-up accepts from all nodes together.
 *
 * Load pattern: a server, or all servers of a failure domain at once, accept few requests for some
 * seconds, while requests for them wait at up to a hundred nodes that learn of each other's demand
 * with a delay. Only so many nodes get a share that the requests which they saved up and the rate
 * stay within the maximum of any second; the first nodes in a fixed order may send a request now and
 * then before the others know of their demand, or without contact. Nodes of high demand go first. More or higher demands
 * of other nodes never raise a share. Nodes whose view of the others differs therefore do not exceed
 * the rate together, provided that each one's own demand is one that all the others already know.
 * @example
 * ```ts
 * const share = shareWarmUp({
 *   requestsPerSecond: 13,
 *   maximumRequests: 24.5,
 *   own: { order: 7, demand: "high" },
 *   others: [{ order: 3, demand: "low" }],
 *   isInContact: true,
 *   rank: 4,
 * });
 * ```
 */
export function shareWarmUp(use: WarmUpUse): RequestShare {
  const { own, others, isInContact, rank } = use;
  const budget = divideBudget(use);
  if (!isInContact || own === undefined) {
    return rank < budget.unknownNodes
      ? { requestsPerSecond: budget.unknownRate, maximumSaved: 1 }
      : NO_SHARE;
  }
  const before = others.filter((other) => goesBefore(other, own)).length;
  if (before >= budget.nodes) return NO_SHARE;
  const claimants = [own, ...others];
  const allHigh = claimants.filter(({ demand }) => demand === "high");
  const high = Math.min(budget.nodes, allHigh.length);
  const low = Math.min(
    budget.nodes - high,
    claimants.length - allHigh.length,
  );
  const lowRate = high === 0
    ? budget.rate / low
    : LOW_PART * budget.rate / budget.nodes;
  return {
    requestsPerSecond: own.demand === "low"
      ? lowRate
      : (budget.rate - low * lowRate) / high,
    maximumSaved: 1,
  };
}

/** Number of steps in which the rate of a server rises after its warm-up; it doubles with each. */
const RECOVERY_STEPS = 4;

/** A server shortly after the end of its warm-up. */
export interface RecoveryUse {
  /** Rate that the server accepted in its warm-up, in requests a second. */
  readonly requestsPerSecond: number;
  /** Number of nodes that send requests to servers of the service, this one included. */
  readonly nodes: number;
  /** Part of the recovery that has passed, from 0 up to but not including 1. */
  readonly elapsedPart: number;
}

/**
 * Returns a node's share of the requests that a server gets shortly after its warm-up.
 *
 * Load pattern: requests wait at all nodes when the warm-up ends. They reach the server at twice the
 * rate of the warm-up, which doubles in equal intervals, and not all at once.
 * @example
 * ```ts
 * const share = shareRecovery({ requestsPerSecond: 13, nodes: 9, elapsedPart: 0.5 });
 * ```
 */
export function shareRecovery(
  { requestsPerSecond, nodes, elapsedPart }: RecoveryUse,
): RequestShare {
  const step = Math.floor(RECOVERY_STEPS * elapsedPart);
  const total = toUsableRate(requestsPerSecond) * 2 ** (step + 1);
  return { requestsPerSecond: total / nodes, maximumSaved: 1 };
}

// A node that gains a share starts without a saved request, and one that loses it loses what it
// saved. In any second, the nodes thus send at most what they had saved, one request each, and the rate.
function divideBudget(
  { requestsPerSecond, maximumRequests }: Pick<
    WarmUpUse,
    "requestsPerSecond" | "maximumRequests"
  >,
): {
  readonly unknownNodes: number;
  readonly unknownRate: number;
  /** Number of nodes of known demand that get a share, and the rate that they share. */
  readonly nodes: number;
  readonly rate: number;
} {
  const maximum = Math.floor(maximumRequests);
  const unknownNodes = Math.floor(UNKNOWN_PART * maximum);
  const remaining = maximum - 2 * unknownNodes;
  const rate = Math.min(requestsPerSecond, RATE_PART * remaining);
  const burst = (1 + BURST_SECONDS) * rate;
  return {
    unknownNodes,
    unknownRate: Math.min(
      UNKNOWN_REQUESTS_PER_SECOND,
      requestsPerSecond / Math.max(1, unknownNodes),
    ),
    nodes: Math.max(1, Math.floor(remaining - burst)),
    rate,
  };
}

function goesBefore(other: Claimant, own: Claimant): boolean {
  return other.demand === own.demand
    ? other.order <= own.order
    : other.demand === "high";
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
