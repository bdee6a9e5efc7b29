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
  /** `unknown` when the change may have been committed; the trainer can safely retry the request. */
  readonly ran: "notRun" | "unknown";
  /** Invalid field or parameter of the request, if any. */
  readonly field?: string;
  readonly retryAfterMilliseconds?: number;
}

/** Optional parts of a refusal. */
export interface StepRefusalOptions {
  readonly ran?: "notRun" | "unknown";
  readonly field?: string;
  readonly retryAfterMilliseconds?: number;
}

/**
 * Creates a refusal; it states that the request did not run unless `options.ran` is `unknown`.
 * @param error - The kind of refusal.
 * @param message - What is wrong, with the invalid value.
 * @param options - Whether the request may have run, the invalid field, and the delay before a
 * retry in milliseconds.
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
