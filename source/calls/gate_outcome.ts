/** Whether a call may be sent. */
export type GateOutcome =
  | { readonly kind: "open" }
  | { readonly kind: "rejected"; readonly retryAfterMilliseconds: number }
  | { readonly kind: "cancelled" };
