/** Severity of a log event. */
export type EventLevel = "error" | "warn" | "info" | "debug";

/** One numbered log event of the catalogue. */
export interface EventDefinition<Field extends string = string> {
  /** Unique for ever; a removed event's number is not used again. */
  readonly number: number;
  readonly level: EventLevel;
  /** What happened, in one sentence without a final stop. */
  readonly message: string;
  /** What an operator does about it; empty where nothing is to be done. */
  readonly action: string;
  readonly fields: ReadonlyArray<Field>;
}

/**
 * Defines one event.
 * @param number - The event's number.
 * @param definition - The rest of the event.
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
