import type { WaitingRequest } from "../waiting_request.ts";
import type { AdmissionState } from "./admission_policy.ts";

/**
 * Chooses the request that arrived first, regardless of class and organisation.
 * @param state - State of the service at this node.
 * @example
 * ```ts
 * const next = chooseFifo(state);
 * ```
 */
export function chooseFifo(
  state: AdmissionState,
): WaitingRequest | undefined {
  if (state.freeSlots <= 0) return undefined;
  let first: WaitingRequest | undefined;
  for (const { heads } of state.waiting.heads()) {
    for (const head of heads) {
      if (first === undefined || head.sequence < first.sequence) first = head;
    }
  }
  return first;
}
