/**
 * Time after which the other nodes know of a request: the interval of their heartbeats, and the
 * time in which one arrives.
 */
export const VIEW_AGE_MILLISECONDS = 500;

/**
 * Time after which a sample that has found no slot of its node's share is sent to any server that
 * may have one. It is about the first backoff after a refusal, which it avoids.
 */
export const BLOCKED_MILLISECONDS = 50;
/** Requests beyond its slots that a server accepts and queues for a moment. */
export const QUEUED_REQUESTS = 1;
/** Number of standard deviations of the other nodes' requests that must fit in before a slot is lent. */
const LENDING_DEVIATIONS = 1.5;

/** What a node knows of the slots of one server. */
export interface ServerSlots {
  readonly slots: number;
  /** Number of this node's requests at the server. */
  readonly running: number;
  /** The same number as the other nodes know it. */
  readonly published: number;
  /** Number of the other nodes' requests at the server, as this node knows it. */
  readonly elsewhere: number;
}

/** The nodes that use the servers of a service. */
export interface SharingNodes {
  /** Number of nodes that send requests to the service, this one included. */
  readonly count: number;
  /** Position of this node among them at the server, from 0; each server has its own order. */
  readonly rank: number;
}

/**
 * Whether a slot of a server belongs to this node's share of the free slots.
 *
 * Load pattern: up to 80 nodes choose servers at the same moment, each from heartbeats that are some
 * hundred milliseconds old. All of them see the same free slots. Each slot therefore belongs to one
 * node, in an order that every node computes alike and that differs between the servers. Only nodes
 * that use the service count, so that the shares of the others are lent.
 * @param slots - The slots of the server.
 * @param nodes - The nodes that share them.
 * @example
 * ```ts
 * const isOwn = isWithinShare({ free: 4, sentRecently: 0 }, { count: 80, rank: 3 });
 * ```
 */
export function isWithinShare(
  { slots, running, published, elsewhere }: ServerSlots,
  { count, rank }: SharingNodes,
): boolean {
  const free = Math.max(0, slots - elsewhere - published);
  const share = Math.floor(free / count) + (rank < free % count ? 1 : 0);
  // The other nodes leave alone what they believe to be in use here, so it can be used again.
  return running < published + share;
}

/**
 * Whether a slot of another node's share is lent, because the requests that the other nodes are
 * expected to send before they learn of this one fit in as well.
 *
 * Load pattern: a group of samples arrives at one node while most nodes need few of their slots.
 * @param free - Number of slots of the server that are free as far as this node knows.
 * @param requestsPerSlot - Requests that the other nodes are expected to send for each free slot
 * of the service within the age of their view.
 * @example
 * ```ts
 * const isFree = isLent(3, 0.4);
 * ```
 */
export function isLent(free: number, requestsPerSlot: number): boolean {
  if (free <= 0) return false;
  const expected = requestsPerSlot * free;
  return free + QUEUED_REQUESTS >=
    expected + LENDING_DEVIATIONS * Math.sqrt(expected) + 1;
}

/**
 * Longest time for which a node leaves free slots to work of other nodes that does not take them,
 * about two heartbeats: by then the other node has used them or its heartbeat is out of date.
 */
const LEFT_MILLISECONDS = 1000;

/** The free slots of a service and the work of other nodes that goes before this node's. */
export interface ClaimedSlots {
  /** Number of free slots, as far as this node knows. */
  readonly free: number;
  /** Number of requests that wait at other nodes and go before the next one of this node. */
  readonly ahead: number;
  /** Time for which this node has left free slots that were not taken, in milliseconds. */
  readonly leftMilliseconds: number;
}

/**
 * Whether a node leaves the free slots of a service to other nodes, whose waiting work is more urgent
 * or belongs to organisations with less recent use.
 *
 * Load pattern: the urgent requests arrive at one node, the less urgent ones at 80 others that see the
 * same free slots from heartbeats that are some hundred milliseconds old.
 * @example
 * ```ts
 * const isLeft = leavesSlots({ free: 2, ahead: 5, leftMilliseconds: 100 });
 * ```
 */
export function leavesSlots(
  { free, ahead, leftMilliseconds }: ClaimedSlots,
): boolean {
  return ahead > 0 && free <= ahead && leftMilliseconds < LEFT_MILLISECONDS;
}
