/** Number of slots of each server that deferrable calls leave free for other calls. */
const RESERVED_SLOTS_PER_SERVER = 1;
/** Number of calls beyond its slots that each server may get; it queues them for a short time. */
const QUEUED_CALLS_PER_SERVER = 2;
/** Least delay after which a refused caller may return, in milliseconds. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 50;
/** Part of the wait for servers in warm-up over which the returns of refused callers are spread. */
const WARM_UP_SPREAD = 0.2;
/** Time of waiting that raises a call by one rank, so that no call starves. */
const AGEING_MILLISECONDS = 4000;

/** The load of a service, as far as this node knows. */
export interface ServiceLoad {
  /** Number of servers that take calls. */
  readonly servers: number;
  /** Number of calls that these servers run concurrently. */
  readonly slots: number;
  /** Number of calls of all nodes that run at them. */
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
  const limit = demand.isDeferrable
    ? Math.max(1, slots - RESERVED_SLOTS_PER_SERVER * servers)
    : slots + QUEUED_CALLS_PER_SERVER * servers;
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
  /** Monotonic time of the call's arrival, in milliseconds. */
  readonly arrivedAt: number;
}

/**
 * Returns the waiting calls that go before a call.
 * @param call - The call.
 * @param waiting - The waiting calls.
 * @example
 * ```ts
 * const before = listBefore(call, waiting);
 * ```
 */
export function listBefore<Call extends WaitingCall>(
  call: WaitingCall,
  waiting: Iterable<Call>,
): ReadonlyArray<Call> {
  const order = toOrder(call);
  return [...waiting].filter((other) => toOrder(other) <= order);
}

/**
 * Returns the call that gets the next free server: the one with the lowest rank, other calls before
 * deferrable ones of the same rank, older ones before newer ones. A call that waits rises in rank.
 *
 * Load pattern: calls of several ranks wait at the same time and the servers are busy for long.
 * @returns The call; undefined when none waits.
 * @example
 * ```ts
 * const next = findNextCall(waiting);
 * ```
 */
export function findNextCall<Call extends WaitingCall>(
  waiting: ReadonlyArray<Call>,
): Call | undefined {
  let next: Call | undefined;
  for (const call of waiting) {
    if (next === undefined || toOrder(call) < toOrder(next)) next = call;
  }
  return next;
}

// All calls rise at the same pace, so the order of two calls never changes while they wait.
function toOrder({ priority, isDeferrable, arrivedAt }: WaitingCall): number {
  return (priority + (isDeferrable ? 0.5 : 0)) * AGEING_MILLISECONDS +
    arrivedAt;
}
