/** The weight versions that may generate the text of a sample. */
export interface WeightVersionBound {
  /** Oldest version that may generate any event of the text. */
  readonly minimumVersion: number;
  /** Whether one version must generate the whole text. */
  readonly isSingleVersion: boolean;
}

/**
 * Whether the text of a sample may be used if these versions generated its events so far.
 *
 * Every step has its own bound, so each use of a text is checked against the bound of the step that
 * uses it: when a run takes events of an earlier one, for each event that is added, and when the
 * result is listed.
 * @param versions - Weight versions that generated an event of the text, each once.
 * @param bound - The bound of the step that would use the text.
 * @example
 * ```ts
 * mayUseVersions([6, 7], { minimumVersion: 6, isSingleVersion: false }); // true
 * mayUseVersions([6, 7], { minimumVersion: 6, isSingleVersion: true }); // false
 * ```
 */
export function mayUseVersions(
  versions: ReadonlyArray<number>,
  { minimumVersion, isSingleVersion }: WeightVersionBound,
): boolean {
  if (isSingleVersion && versions.length > 1) return false;
  return versions.every((version) => version >= minimumVersion);
}
