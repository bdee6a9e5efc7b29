/** Interval between two reads of the store while a client waits for further results. */
const USUAL_INTERVAL_MILLISECONDS = 120;
/** The same while the client waits for the last results of a step. */
const LAST_INTERVAL_MILLISECONDS = 40;
/** Share of a step's results that count as its last ones. */
const LAST_SHARE = 0.25;

/** How far a client has read the results of a step. */
export interface ReadPosition {
  /** Number of results that the client has. */
  readonly position: number;
  /** Number of samples in the step. */
  readonly total: number;
}

/**
 * Returns the time until the store is read again for a client that waits for results, in milliseconds.
 *
 * Load pattern: trainers wait for the last and longest texts of their steps, and name the next weight
 * version only then. The time from the listing of such a result until its trainer has it delays all
 * later steps of the trainer, while earlier results only have to arrive before it.
 * @param position - How far the client has read.
 * @example
 * ```ts
 * toPollInterval({ position: 30, total: 32 }); // 40
 * ```
 */
export function toPollInterval({ position, total }: ReadPosition): number {
  return total - position <= LAST_SHARE * total
    ? LAST_INTERVAL_MILLISECONDS
    : USUAL_INTERVAL_MILLISECONDS;
}
