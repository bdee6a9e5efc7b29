import type {
  ClaimRecord,
  KeptAnswer,
} from "../../../generated/snipepath/v1/records_pb.ts";
import type { Refusal } from "../refusal.ts";

/** A claim that this node holds: the call may run, once. */
export interface HeldClaim {
  readonly rowKey: string;
  readonly record: ClaimRecord;
  readonly version: number;
}

/** What became of a claim. */
export type ClaimOutcome =
  | { readonly kind: "claimed"; readonly claim: HeldClaim }
  /** The call ran before; this is its answer. */
  | { readonly kind: "kept"; readonly answer: KeptAnswer }
  | { readonly kind: "refused"; readonly refusal: Refusal };

const TABLE_RETRY_MILLISECONDS = 2000;
const RUNNING_RETRY_MILLISECONDS = 1000;

/** The table or the object store is away: nothing ran. */
export const STORE_AWAY: ClaimOutcome = refuse({
  error: "platformUnavailable",
  message:
    "The platform's table is away, so the idempotency key can't be claimed",
  ran: "notRun",
  retryAfterMilliseconds: TABLE_RETRY_MILLISECONDS,
});

/** The key was used with another request. */
export const OTHER_REQUEST: ClaimOutcome = refuse({
  error: "conflict",
  message: "The idempotency key was used with another request",
  ran: "notRun",
  field: "header idempotency-key",
});

/** The first call with the key is running. */
export const STILL_RUNNING: ClaimOutcome = refuse({
  error: "conflict",
  message: "A call with the idempotency key is running or its node has ended",
  ran: "unknown",
  field: "header idempotency-key",
  retryAfterMilliseconds: RUNNING_RETRY_MILLISECONDS,
});

/** The first call may have run, and nobody can tell any more. */
export const MAY_HAVE_RUN: ClaimOutcome = refuse({
  error: "conflict",
  message: "A call with the idempotency key may have run without an answer",
  ran: "unknown",
  field: "header idempotency-key",
});

/** The first call ran, and its answer was too large to keep. */
export const ANSWER_NOT_KEPT: ClaimOutcome = refuse({
  error: "conflict",
  message: "A call with the idempotency key ran; its answer was not kept",
  ran: "unknown",
  field: "header idempotency-key",
});

function refuse(refusal: Refusal): ClaimOutcome {
  return { kind: "refused", refusal };
}
