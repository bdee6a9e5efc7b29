import {
  AGEING_MILLISECONDS,
  NO_USE,
  orderFairly,
  type ServiceUse,
} from "./fair_order.ts";

/** Number of slots of each server that deferrable calls leave free for other calls. */
const RESERVED_SLOTS_PER_SERVER = 1;
/** Number of calls beyond its slots that each server may get; it queues them for a short time. */
const QUEUED_CALLS_PER_SERVER = 2;
/** Least delay after which a refused caller may return, in milliseconds. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 50;
/** Part of the wait for servers in warm-up over which the returns of refused callers are spread. */
const WARM_UP_SPREAD = 0.2;

/** The load of a service, as far as this node knows. */
export interface ServiceLoad {
  /** Number of servers that take calls. */
  readonly servers: number;
  /** Number of calls that these servers run concurrently. */
  readonly slots: number;
  /**
   * Number of calls of all nodes that run at them, and of those that wait at other nodes and go before
   * the call.
   */
  readonly running: number;
  /** Number of calls that wait at this node and go before the call. */
  readonly waiting: number;
  /** Usual duration of a call, in milliseconds. */
  readonly meanMilliseconds: number;
  /** Time until the servers accept the call at the request rates that they allow, in milliseconds. */
  readonly rateWaitMilliseconds: number;
  /**
   * The part of that time for which all servers are in warm-up and accept nothing more from this node;
   * 0 if absent.
   */
  readonly warmUpWaitMilliseconds?: number;
}

/** A call that asks for a server. */
export interface CallDemand {
  /** Whether other calls should get a server first, as when a sample is scored. */
  readonly isDeferrable: boolean;
  /** Time until the call's deadline, in milliseconds. */
  readonly remainingMilliseconds: number;
}

/** What happens to a call. */
export type CallDecision =
  | { readonly kind: "send" }
  | { readonly kind: "wait" }
  /** The call can't be served by its deadline. */
  | { readonly kind: "reject"; readonly retryAfterMilliseconds: number };

/**
 * Decides whether a call is sent, waits at this node or is rejected.
 *
 * Load pattern: few servers, bursts of deferrable calls, callers that return at the same time after
 * an outage, and servers in need that limit the rate of their requests. Calls beyond what the servers
 * can run wait here, where the more important one goes first, and not at the servers; a call whose
 * turn comes too late is rejected at once with a time at which the backlog is gone. The returns are
 * spread over that time, so that they don't come at once.
 * @param load - The service's load.
 * @param demand - The call.
 * @param draw - Random number from 0 up to but not including 1.
 * @example
 * ```ts
 * const decision = decideCall(load, { isDeferrable: false, remainingMilliseconds: 1500 }, 0.4);
 * ```
 */
export function decideCall(
  load: ServiceLoad,
  demand: CallDemand,
  draw: number,
): CallDecision {
  const { servers, slots, running, waiting, meanMilliseconds } = load;
  const { rateWaitMilliseconds } = load;
  // Without a server the caller learns so from the attempt itself.
  if (servers === 0) return { kind: "send" };
  const limit = toLimit(load, demand);
  const hasSlot = running < limit && waiting === 0;
  if (hasSlot && rateWaitMilliseconds === 0) return { kind: "send" };
  const backlog = Math.max(0, running - limit) + waiting + 1;
  const backlogMilliseconds = Math.max(
    rateWaitMilliseconds,
    hasSlot ? 0 : backlog * meanMilliseconds / Math.max(1, slots),
  );
  if (backlogMilliseconds + meanMilliseconds <= demand.remainingMilliseconds) {
    return { kind: "wait" };
  }
  const { warmUpWaitMilliseconds = 0 } = load;
  return {
    kind: "reject",
    retryAfterMilliseconds: warmUpWaitMilliseconds > 0
      ? toWarmUpRetryAfter(backlogMilliseconds, draw)
      : toRetryAfter(backlogMilliseconds, draw),
  };
}

/**
 * Returns the number of calls that the servers take now.
 * @param load - The service's load.
 * @param demand - The call that asks.
 * @example
 * ```ts
 * const free = countFreePlaces(load, { isDeferrable: false, remainingMilliseconds: 1500 });
 * ```
 */
export function countFreePlaces(
  load: ServiceLoad,
  demand: CallDemand,
): number {
  return Math.max(0, toLimit(load, demand) - load.running);
}

// Returns the number of calls that may be at the servers.
function toLimit(
  { servers, slots }: ServiceLoad,
  { isDeferrable }: CallDemand,
): number {
  return isDeferrable
    ? Math.max(1, slots - RESERVED_SLOTS_PER_SERVER * servers)
    : slots + QUEUED_CALLS_PER_SERVER * servers;
}

/**
 * Returns the delay after which a refused caller may return: the time that the backlog needs, half of
 * it to one and a half times it, so that the callers return one after the other.
 * @param backlogMilliseconds - Time that the servers need for the calls before it.
 * @param draw - Random number from 0 up to but not including 1.
 */
export function toRetryAfter(
  backlogMilliseconds: number,
  draw: number,
): number {
  return Math.ceil(
    Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, backlogMilliseconds) *
      (0.5 + draw),
  );
}

/**
 * Returns the delay after which a caller may return that was refused as all servers are in warm-up.
 * None is served earlier, so the callers return after that time, spread over a part of it.
 * @param waitMilliseconds - Time until a server accepts the call.
 * @param draw - Random number from 0 up to but not including 1.
 */
export function toWarmUpRetryAfter(
  waitMilliseconds: number,
  draw: number,
): number {
  return Math.ceil(
    Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, waitMilliseconds) *
      (1 + WARM_UP_SPREAD * draw),
  );
}

/** A call that waits for a server. */
export interface WaitingCall {
  /** Rank of the call's organisation or else of its route; 0 goes first. */
  readonly priority: number;
  readonly isDeferrable: boolean;
  /** Organisation that the call belongs to, if any. */
  readonly organisation?: string | undefined;
  /** Monotonic time of the call's arrival, in milliseconds. */
  readonly arrivedAt: number;
  /**
   * Monotonic time from which the call's turn rises in rank; the arrival if absent. A call that goes
   * before older ones of its rank leaves them the older turn, see `findTurnHeir`.
   */
  readonly turnAt?: number;
}

/**
 * Returns the waiting calls that go before a call.
 *
 * Load pattern: the backlog of a large organisation fills the queue; a call of a small one must not be
 * rejected for it.
 * @param call - The call, which does not wait yet.
 * @param waiting - The waiting calls.
 * @param use - Recent use of the service by organisation.
 * @example
 * ```ts
 * const before = listBefore(call, waiting, use);
 * ```
 */
export function listBefore<Call extends WaitingCall>(
  call: WaitingCall,
  waiting: Iterable<Call>,
  use: ServiceUse = NO_USE,
): ReadonlyArray<Call> {
  const others = [...waiting];
  if (others.length === 0) return [];
  const rank = toRank(call);
  const sameRank = others.filter((other) => toRank(other) === rank);
  const ordered = orderFairly<Call | WaitingCall>([...sameRank, call], use);
  const position = ordered.indexOf(call);
  const turns = [...sameRank, call].map(toTurn).sort((left, right) =>
    left - right
  );
  const order = rank * AGEING_MILLISECONDS + (turns[position] ?? toTurn(call));
  const isBefore = new Set(ordered.slice(0, position));
  const turnsBefore = new Map<number, number>();
  for (const other of others) {
    if (toRank(other) === rank || toOrder(other) > order) continue;
    const count = turnsBefore.get(toRank(other)) ?? 0;
    turnsBefore.set(toRank(other), count + 1);
  }
  for (const [otherRank, count] of turnsBefore) {
    const ofRank = others.filter((other) => toRank(other) === otherRank);
    for (const other of orderFairly(ofRank, use).slice(0, count)) {
      isBefore.add(other);
    }
  }
  return others.filter((other) => isBefore.has(other));
}

interface RankHead<Call> {
  readonly call: Call;
  readonly use: number;
  readonly index: number;
  /** Order of the oldest turn of the rank. */
  readonly order: number;
}

/**
 * Returns the call that gets the next free server. The rank whose turn it is goes first: the lowest
 * one, other calls before deferrable ones of the same rank, and a rank rises while its calls wait. In
 * the rank, the organisation with the least recent use goes first, then the older call.
 *
 * Load pattern: calls of several ranks wait at the same time and the servers are busy for long; in
 * each rank, a few organisations send most of the calls.
 * @returns The call; undefined when none waits.
 * @example
 * ```ts
 * const next = findNextCall(waiting, use);
 * ```
 */
export function findNextCall<Call extends WaitingCall>(
  waiting: ReadonlyArray<Call>,
  use: ServiceUse = NO_USE,
): Call | undefined {
  const heads = new Map<number, RankHead<Call>>();
  const uses = new Map<string, number>();
  waiting.forEach((call, index) => {
    const organisation = call.organisation ?? "";
    const own = uses.get(organisation) ?? use.useOf(organisation);
    uses.set(organisation, own);
    const rank = toRank(call);
    const head = heads.get(rank);
    const order = Math.min(toOrder(call), head?.order ?? Infinity);
    const isFirst = head === undefined || own < head.use ||
      (own === head.use && call.arrivedAt < head.call.arrivedAt);
    heads.set(
      rank,
      isFirst ? { call, use: own, index, order } : { ...head, order },
    );
  });
  let next: RankHead<Call> | undefined;
  for (const head of heads.values()) {
    const isEarlier = next === undefined || head.order < next.order ||
      (head.order === next.order && head.index < next.index);
    if (isEarlier) next = head;
  }
  return next?.call;
}

/**
 * Returns the waiting call that takes over the turn of a call that was sent before it; undefined when
 * the call had the oldest turn of its rank. The ranks take turns by age, whichever organisation's call
 * uses a turn, so that one old call does not raise all later ones of its rank.
 * @param sent - The call that was sent.
 * @param waiting - The calls that still wait.
 * @example
 * ```ts
 * const heir = findTurnHeir(sent, waiting);
 * ```
 */
export function findTurnHeir<Call extends WaitingCall>(
  sent: WaitingCall,
  waiting: Iterable<Call>,
): Call | undefined {
  const rank = toRank(sent);
  let oldest: Call | undefined;
  for (const call of waiting) {
    if (toRank(call) !== rank || toTurn(call) >= toTurn(sent)) continue;
    if (oldest === undefined || toTurn(call) < toTurn(oldest)) oldest = call;
  }
  return oldest;
}

/**
 * Returns the rank of a call after ageing, by which nodes compare their calls; a lower one goes first.
 * @param call - The call.
 * @param now - Current monotonic time, in milliseconds.
 * @example
 * ```ts
 * const level = toLevel(call, clock.monotonic());
 * ```
 */
export function toLevel(
  call: Pick<WaitingCall, "priority" | "isDeferrable" | "arrivedAt" | "turnAt">,
  now: number,
): number {
  const waited = Math.max(0, now - toTurn(call));
  return toRank(call) - Math.floor(waited / AGEING_MILLISECONDS);
}

function toRank(
  { priority, isDeferrable }: Pick<WaitingCall, "priority" | "isDeferrable">,
): number {
  return priority + (isDeferrable ? 0.5 : 0);
}

function toTurn(
  { arrivedAt, turnAt }: Pick<WaitingCall, "arrivedAt" | "turnAt">,
): number {
  return turnAt ?? arrivedAt;
}

// All calls rise at the same pace, so the order of two turns never changes while they wait.
function toOrder(call: WaitingCall): number {
  return toRank(call) * AGEING_MILLISECONDS + toTurn(call);
}
