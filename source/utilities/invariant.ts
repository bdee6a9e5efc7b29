/** Thrown when the program's own state is inconsistent; the process then stops. */
export class BrokenInvariantError extends Error {
  override readonly name = "BrokenInvariantError";
}

/**
 * Asserts that the program's own state is consistent.
 * @param condition - Condition that must hold.
 * @param message - Description of the inconsistency, with the values.
 * @throws {BrokenInvariantError} When the condition is false.
 * @example
 * ```ts
 * invariant(delivered <= wanted, `Delivered ${delivered} of ${wanted}`);
 * ```
 */
export function invariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new BrokenInvariantError(message);
}
