/** A sample of a step, as far as the choice of spare groups depends on it. */
export interface GroupMember {
  readonly group: string;
  readonly expectedEvents: number;
  /** Whether the sample has no result yet. */
  readonly isOpen: boolean;
}

/** What the trainer waits for. */
export interface SpareGroupOptions {
  /** Number of complete groups that the trainer waits for. */
  readonly targetGroups: number;
  /** Groups that the trainer waits for whichever others are complete. */
  readonly requiredGroups: ReadonlySet<string>;
}

/**
 * Selects the groups of a step that its trainer does not need: as many as the step has beyond the
 * number that the trainer waits for, the ones with the longest expected text first, since the time of
 * a group is that of its longest text. A group without open samples is not selected.
 *
 * Load pattern: a step has a tenth more groups than its trainer waits for, and the few longest texts
 * decide when the step is complete.
 * @example
 * ```ts
 * const spare = selectSpareGroups(members, { targetGroups: 10, requiredGroups: new Set() });
 * ```
 */
export function selectSpareGroups(
  members: ReadonlyArray<GroupMember>,
  { targetGroups, requiredGroups }: SpareGroupOptions,
): ReadonlySet<string> {
  const longest = new Map<string, number>();
  for (const { group, expectedEvents, isOpen } of members) {
    const events = isOpen ? expectedEvents : 0;
    longest.set(group, Math.max(events, longest.get(group) ?? 0));
  }
  const spareCount = targetGroups > 0
    ? Math.max(0, longest.size - targetGroups)
    : 0;
  const candidates = [...longest]
    .filter(([group, events]) => events > 0 && !requiredGroups.has(group))
    .sort(([, left], [, right]) => right - left);
  return new Set(candidates.slice(0, spareCount).map(([group]) => group));
}
