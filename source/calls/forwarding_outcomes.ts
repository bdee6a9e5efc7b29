import {
  toRetryAfter,
  toWarmUpRetryAfter,
} from "../decisions/call_admission.ts";
import { toEvacuationRetry } from "../decisions/evacuation.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import type { AttemptResult } from "./attempt_result.ts";
import type { CallOutcome } from "./call_outcome.ts";

/** Time that servers which refused a call are assumed to need for what they run. */
const REFUSED_BACKLOG_MILLISECONDS = 150;
/** Delay after which a caller may return whose request no region may process. */
const NO_REGION_RETRY_MILLISECONDS = 1000;

/** Outcome of a request whose lists of allowed regions have no region in common. */
export const NO_ALLOWED_REGION: CallOutcome = {
  kind: "refused",
  refusal: "noAllowedRegion",
  retryAfterMilliseconds: NO_REGION_RETRY_MILLISECONDS,
};

/** Delay after which a caller may send a request again that a node did not start before its end. */
const STOPPING_RETRY_MILLISECONDS = 100;

/** Outcome of a request that a node did not send before its end. */
export const STOPPING = {
  kind: "refused",
  refusal: "stopping",
  retryAfterMilliseconds: STOPPING_RETRY_MILLISECONDS,
} as const;

/** Delay after which a caller may return whose request the node had no memory for. */
const NO_MEMORY_RETRY_MILLISECONDS = 1000;

/** Outcome of a request that a node has not read to its end, as it has no memory for it. */
export const NO_MEMORY = {
  kind: "refused",
  refusal: "noMemory",
  retryAfterMilliseconds: NO_MEMORY_RETRY_MILLISECONDS,
} as const;

/** Returns the outcome of a call that is held because calls with its content crash servers. */
export function toHeldOutcome(retryAfterMilliseconds: number): CallOutcome {
  return { kind: "refused", refusal: "crashesServers", retryAfterMilliseconds };
}

/**
 * Returns the outcome of a call to a service whose servers are all evacuated.
 * @param draw - Random number from 0 up to but not including 1.
 */
export function toEvacuatedOutcome(draw: number): CallOutcome {
  return toNoServerOutcome(toEvacuationRetry(draw));
}

/** Times, in milliseconds, for which the servers of a refused call accept no further call. */
export interface RefusalWaits {
  /** Time until the servers have room by their limits. */
  readonly roomWaitMilliseconds: number;
  /** The part of it for which the warm-ups of all the servers are the reason; 0 if they are not. */
  readonly warmUpWaitMilliseconds: number;
}

/**
 * Returns the outcome of a call that no server ran.
 * @param waits - For how long the servers accept no further call.
 * @param draw - Random number from 0 up to but not including 1.
 */
export function toUnrunOutcome(
  { roomWaitMilliseconds, warmUpWaitMilliseconds }: RefusalWaits,
  draw: number,
): CallOutcome {
  const backlog = Math.max(REFUSED_BACKLOG_MILLISECONDS, roomWaitMilliseconds);
  return toNoServerOutcome(
    warmUpWaitMilliseconds > 0
      ? toWarmUpRetryAfter(backlog, draw)
      : toRetryAfter(backlog, draw),
  );
}

function toNoServerOutcome(retryAfterMilliseconds: number): CallOutcome {
  return { kind: "refused", refusal: "noServer", retryAfterMilliseconds };
}

/** Returns the outcome of a call that a server answered. */
export function toAnsweredOutcome(
  result: Extract<AttemptResult, { kind: "complete" }>,
): CallOutcome {
  const { status, body, answer } = result;
  return { kind: "answered", status, headers: answer.headers, body };
}

/** Describes why an attempt failed, for the log. */
export function describeFailure(result: AttemptResult): string {
  if (result.kind === "failed") return result.reason;
  return result.kind === "complete"
    ? `status ${result.status}`
    : "request was not run";
}

/** Returns how long a response that is passed on may take; times are monotonic, in milliseconds. */
export function toStreamLimits(
  { kind }: Pick<ServiceRoute, "kind">,
  { startedAt, deadline, now }: {
    readonly startedAt: number;
    readonly deadline: number;
    readonly now: number;
  },
): {
  readonly stallMilliseconds: number;
  readonly endsWithinMilliseconds: number;
} {
  return {
    stallMilliseconds: Math.max(1, deadline - startedAt),
    endsWithinMilliseconds: kind === "streaming"
      ? Infinity
      : Math.max(1, deadline - now),
  };
}
