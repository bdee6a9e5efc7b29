/** Whether a call may be sent. */
export type GateOutcome =
  | { readonly kind: "open" }
  | { readonly kind: "rejected"; readonly retryAfterMilliseconds: number }
  /** The call must ask again, as it may use other servers now. */
  | { readonly kind: "outdated" }
  /** The node is about to stop and does not send the call. */
  | { readonly kind: "stopping" }
  | { readonly kind: "cancelled" };
