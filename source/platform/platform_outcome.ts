/** How a call to the platform ended without an answer that can be used. */
export interface PlatformFailure {
  /** `notRun`: no byte left or the platform refused. `unknown`: it may have taken effect. */
  readonly kind: "notRun" | "unknown";
  /** What was wrong, for logs and operators. */
  readonly reason: string;
}

/** Result of a platform call. */
export type PlatformOutcome<Value> =
  | { readonly kind: "ok"; readonly value: Value }
  | PlatformFailure;
