import type { WaitingRequest } from "../waiting_request.ts";
import type { AdmissionState } from "./admission_policy.ts";

/**
 * Chooses a request of the organisation that received the least service through this node.
 * @param state - State of the service at this node.
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
    .map((head) => ({
      head,
      received: state.received(head.organisation).local,
    }))
    .sort((left, right) =>
      left.received - right.received || left.head.sequence - right.head.sequence
    )[0]?.head;
}
