/** Why a trainer's request was refused. */
export type StepRefusalError =
  | "invalidRequest"
  | "notFound"
  | "conflict"
  | "platformUnavailable";

/** A typed refusal of a trainer's request. */
export interface StepRefusal {
  readonly kind: "refused";
  readonly error: StepRefusalError;
  readonly message: string;
  /** `unknown` where the change may have taken effect; asking again is safe. */
  readonly ran: "notRun" | "unknown";
  /** Field or parameter at fault, where there is one. */
  readonly field?: string;
  readonly retryAfterMilliseconds?: number;
}

/** Parts of a refusal that have defaults. */
export interface StepRefusalOptions {
  readonly ran?: "notRun" | "unknown";
  readonly field?: string;
  readonly retryAfterMilliseconds?: number;
}

/**
 * Creates a refusal of a request that did not run.
 * @param error - The kind of refusal.
 * @param message - What was wrong, with the value.
 * @param options - The field at fault and when to ask again.
 * @example
 * ```ts
 * refuse("notFound", "No step of that name: 17", { field: "step" });
 * ```
 */
export function refuse(
  error: StepRefusalError,
  message: string,
  options: StepRefusalOptions = {},
): StepRefusal {
  return { kind: "refused", error, message, ran: "notRun", ...options };
}
