import type { Sample } from "../../generated/snipepath/v1/records_pb.ts";

/**
 * Returns the oldest weight version that generated any token of a sample.
 * @param sample - A finished sample.
 * @example
 * ```ts
 * getOldestVersion(sample); // 6
 * ```
 */
export function getOldestVersion(sample: Sample): number {
  return sample.stretches.reduce(
    (oldest, stretch) => Math.min(oldest, Number(stretch.weightVersion)),
    Number.MAX_SAFE_INTEGER,
  );
}

/**
 * The trainer's newest weight version, and the number of versions by which a sample may lag behind
 * it.
 */
export interface StalenessRule {
  readonly newestVersion: number;
  readonly boundVersions: number;
}

/**
 * Returns whether a sample lags behind the newest version by more than the staleness bound.
 * @param sample - A finished sample.
 * @param rule - The newest version and the bound, in versions.
 * @example
 * ```ts
 * exceedsStalenessBound(sample, { newestVersion: 9, boundVersions: 2 });
 * ```
 */
export function exceedsStalenessBound(
  sample: Sample,
  rule: StalenessRule,
): boolean {
  return rule.newestVersion - getOldestVersion(sample) > rule.boundVersions;
}
