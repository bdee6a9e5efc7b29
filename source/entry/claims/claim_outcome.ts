import type {
  ClaimRecord,
  KeptAnswer,
} from "../../../generated/snipepath/v1/records_pb.ts";
import type { Refusal } from "../refusal.ts";

/** A claim that this node holds, which allows it to run the call once. */
export interface HeldClaim {
  readonly rowKey: string;
  readonly record: ClaimRecord;
  /** Version of the claim's row. */
  readonly version: number;
}

/** The result of a claim. */
export type ClaimOutcome =
  | { readonly kind: "claimed"; readonly claim: HeldClaim }
  /** The call ran before; `answer` is its stored answer. */
  | { readonly kind: "kept"; readonly answer: KeptAnswer }
  | { readonly kind: "refused"; readonly refusal: Refusal };

const TABLE_RETRY_MILLISECONDS = 2000;
const RUNNING_RETRY_MILLISECONDS = 1000;

/** Refusal while the platform's table does not respond; the call did not run. */
export const PLATFORM_UNAVAILABLE: ClaimOutcome = refuse({
  error: "platformUnavailable",
  message:
    "The platform's table is unavailable, so the idempotency key can't be claimed",
  ran: "notRun",
  retryAfterMilliseconds: TABLE_RETRY_MILLISECONDS,
});

/** Refusal of a key that was used with a different request. */
export const KEY_REUSED: ClaimOutcome = refuse({
  error: "conflict",
  message: "The idempotency key was used with a different request",
  ran: "notRun",
  field: "header idempotency-key",
});

/**
 * Refusal while an earlier call with the key is running, or after the node that ran it stopped
 * before it settled the claim.
 */
export const STILL_RUNNING: ClaimOutcome = refuse({
  error: "conflict",
  message:
    "A call with the idempotency key is running, or the node that ran it stopped",
  ran: "unknown",
  field: "header idempotency-key",
  retryAfterMilliseconds: RUNNING_RETRY_MILLISECONDS,
});

/** Refusal after a first call of which it is unknown whether it ran. */
export const MAY_HAVE_RUN: ClaimOutcome = refuse({
  error: "conflict",
  message: "A call with the idempotency key may have run without an answer",
  ran: "unknown",
  field: "header idempotency-key",
});

/** Refusal after a first call whose answer was too large to store, or is lost or unreadable. */
export const ANSWER_NOT_STORED: ClaimOutcome = refuse({
  error: "conflict",
  message: "A call with the idempotency key ran; its answer was not stored",
  ran: "unknown",
  field: "header idempotency-key",
});

function refuse(refusal: Refusal): ClaimOutcome {
  return { kind: "refused", refusal };
}
