/** An interrupted text and the engines that serve. */
export interface InterruptedText {
  /** Number of events that the text has. */
  readonly events: number;
  /** Usual time for one event, in milliseconds. */
  readonly eventMilliseconds: number;
  /** Whether an engine of the software version that began the text serves. */
  readonly isVersionServing: boolean;
  /** Whether an engine of another software version serves. */
  readonly isOtherServing: boolean;
}

/**
 * Returns how long an interrupted text waits for an engine of the software version that began it,
 * before it is generated again from its start by another version.
 *
 * Load pattern: the engines of a service are replaced by another software version while texts run;
 * engines of the old version crash or leave, and for some time few or none are left. A text waits no
 * longer than its events took, so waiting and generating it again cost at most twice what the better
 * of the two would have cost.
 * @returns The time in milliseconds; infinite if no other version could generate the text.
 * @example
 * ```ts
 * const patience = toContinuationPatience({
 *   events: 40, eventMilliseconds: 35, isVersionServing: true, isOtherServing: true,
 * });
 * ```
 */
export function toContinuationPatience(
  { events, eventMilliseconds, isVersionServing, isOtherServing }:
    InterruptedText,
): number {
  if (!isOtherServing) return Infinity;
  return isVersionServing ? events * eventMilliseconds : 0;
}
