/** Share of a name's characters that a misspelling may change. */
const MAXIMUM_CHANGED_SHARE = 0.4;

/**
 * Finds the known name that a misspelt one most likely means.
 * @param name - The misspelt name.
 * @param known - The known names.
 * @returns The name with the fewest characters to insert, delete or replace; undefined when all
 * known names differ in more than 40 % of the characters.
 * @example
 * ```ts
 * const meant = findNearestName("timeout", ["timeout_ms", "priority"]);
 * ```
 */
export function findNearestName(
  name: string,
  known: ReadonlyArray<string>,
): string | undefined {
  let nearest: string | undefined;
  let fewest = Infinity;
  for (const candidate of known) {
    const changes = countChanges(name.toLowerCase(), candidate);
    const longest = Math.max(name.length, candidate.length);
    if (changes > MAXIMUM_CHANGED_SHARE * longest || changes >= fewest) {
      continue;
    }
    nearest = candidate;
    fewest = changes;
  }
  return nearest;
}

function countChanges(left: string, right: string): number {
  let row = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let i = 1; i <= left.length; i += 1) {
    const next = [i];
    for (let j = 1; j <= right.length; j += 1) {
      const replaced = (row[j - 1] ?? 0) +
        (left[i - 1] === right[j - 1] ? 0 : 1);
      next.push(
        Math.min(replaced, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1),
      );
    }
    row = next;
  }
  return row[right.length] ?? 0;
}
