import { getQuantile } from "./quantile.ts";

/**
 * Time after the start of a drain for which callers may not know of it, since they asked for addresses
 * just before.
 */
const UNAWARE_MILLISECONDS = 3000;
/** Factor by which a call may exceed the recent durations. */
const DURATION_MARGIN = 1.5;
/** Quantile of the recent durations that a call which may be repeated is expected to take. */
const REPEATABLE_QUANTILE = 0.95;
/** Number of durations below which they say nothing about a call that must not be repeated. */
const MINIMUM_DURATIONS = 20;
/** Delay after which a refused caller may return while other nodes serve. */
const OTHER_NODE_RETRY_MILLISECONDS = 100;
/** Time that a node needs to start again after its end. */
const RESTART_MILLISECONDS = 1500;

/** A node that drains before it stops. */
export interface Drain {
  /** Time since its start, in milliseconds. */
  readonly elapsedMilliseconds: number;
  /** Time until the node ends the calls that still run. */
  readonly leftMilliseconds: number;
  /** Whether other nodes take callers. */
  readonly hasOtherNodes: boolean;
}

/** A call that arrives at the node. */
export interface DrainedCall {
  /** Time for which the call may run: until the caller's deadline or the route's timeout. */
  readonly limitMilliseconds: number;
  /** Whether the caller may repeat the call if its outcome is unknown. */
  readonly mayRepeat: boolean;
  /** Latency target of its route, in milliseconds. */
  readonly targetMilliseconds: number;
  /** Recent durations of calls of its route, in milliseconds. */
  readonly durations: ReadonlyArray<number>;
}

/** Whether a call may start at a node that drains. */
export type DrainDecision =
  | { readonly kind: "accept" }
  | { readonly kind: "refuse"; readonly retryAfterMilliseconds: number };

/**
 * Decides whether a call may start at a node that drains.
 *
 * Load pattern: nodes are stopped one after the other, and callers use cached addresses or open
 * connections of a node for seconds after its drain has begun. Other nodes can serve a call that is
 * refused at once; one that is still running when the node ends is lost to its caller. So a call starts
 * only if it ends in time: surely, or, where the caller may repeat it or can't know of the drain yet,
 * as far as the recent calls of its route tell.
 * @param drain - The node.
 * @param call - The call.
 * @param draw - Random number from 0 up to but not including 1.
 * @example
 * ```ts
 * const decision = decideDrainAdmission(drain, call, 0.4);
 * ```
 */
export function decideDrainAdmission(
  drain: Drain,
  call: DrainedCall,
  draw: number,
): DrainDecision {
  const { elapsedMilliseconds, leftMilliseconds, hasOtherNodes } = drain;
  if (call.limitMilliseconds <= leftMilliseconds) return { kind: "accept" };
  const mayExpect = call.mayRepeat ||
    elapsedMilliseconds <= UNAWARE_MILLISECONDS;
  if (mayExpect && expectDuration(call) <= leftMilliseconds) {
    return { kind: "accept" };
  }
  const retryAfterMilliseconds = hasOtherNodes
    ? OTHER_NODE_RETRY_MILLISECONDS
    : leftMilliseconds + Math.ceil(RESTART_MILLISECONDS * (1 + draw));
  return { kind: "refuse", retryAfterMilliseconds };
}

// Returns the time that a call is expected to take at most; its limit if too little is known of a call
// that must not be repeated.
function expectDuration(
  { durations, mayRepeat, targetMilliseconds, limitMilliseconds }: DrainedCall,
): number {
  if (mayRepeat) {
    return durations.length === 0
      ? targetMilliseconds
      : DURATION_MARGIN * getQuantile(durations, REPEATABLE_QUANTILE);
  }
  return durations.length < MINIMUM_DURATIONS
    ? limitMilliseconds
    : DURATION_MARGIN * Math.max(...durations);
}
