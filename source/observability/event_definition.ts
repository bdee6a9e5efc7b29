/** Severity of a log event. */
export type EventLevel = "error" | "warn" | "info" | "debug";

/** One numbered log event of the catalogue. */
export interface EventDefinition<Field extends string = string> {
  /** Unique number; the number of a removed event is not reused. */
  readonly number: number;
  readonly level: EventLevel;
  /** What happened, in one sentence without a final full stop. */
  readonly message: string;
  /** What an operator should do; empty when no action is needed. */
  readonly action: string;
  readonly fields: ReadonlyArray<Field>;
}

/**
 * Defines one event.
 * @param number - Number of the event.
 * @param definition - Other properties of the event.
 * @example
 * ```ts
 * const leaseLost = defineEvent(5002, {
 *   level: "warn",
 *   message: "Lease lost",
 *   action: "",
 *   fields: ["lease"],
 * });
 * ```
 */
export function defineEvent<const Field extends string>(
  number: number,
  definition: Omit<EventDefinition<Field>, "number">,
): EventDefinition<Field> {
  return { number, ...definition };
}
