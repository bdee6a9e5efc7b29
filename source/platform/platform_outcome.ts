/** A call to the platform that ended without a usable answer. */
export interface PlatformFailure {
  /** `notRun`: no byte was sent or the platform refused. `unknown`: it may have taken effect. */
  readonly kind: "notRun" | "unknown";
  /** Description of the failure for logs and operators. */
  readonly reason: string;
}

/** Result of a platform call. */
export type PlatformOutcome<Value> =
  | { readonly kind: "ok"; readonly value: Value }
  | PlatformFailure;
