import type { WaitingRequest } from "../waiting_request.ts";
import type { AdmissionState } from "./admission_policy.ts";

/**
 * Chooses a request of the organisation that received least through this node alone.
 * @param state - What waits.
 * @example
 * ```ts
 * const next = choosePerNodeFair(state);
 * ```
 */
export function choosePerNodeFair(
  state: AdmissionState,
): WaitingRequest | undefined {
  if (state.freeSlots <= 0) return undefined;
  const heads = state.waiting.heads().flatMap((each) => each.heads);
  return heads
    .map((head) => ({ head, here: state.received(head.organisation).here }))
    .sort((left, right) =>
      left.here - right.here || left.head.sequence - right.head.sequence
    )[0]?.head;
}
