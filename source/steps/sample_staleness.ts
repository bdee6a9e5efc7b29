import type { Sample } from "../../generated/snipepath/v1/records_pb.ts";

/**
 * Returns the oldest weight version that made a part of a sample.
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

/** The trainer's newest version and how far a sample may lag behind it. */
export interface StalenessRule {
  readonly newestVersion: number;
  readonly boundVersions: number;
}

/**
 * Returns whether a sample lags too far behind the newest version.
 * @param sample - A finished sample.
 * @param rule - The newest version and the bound.
 * @example
 * ```ts
 * isTooOld(sample, { newestVersion: 9, boundVersions: 2 });
 * ```
 */
export function isTooOld(sample: Sample, rule: StalenessRule): boolean {
  return rule.newestVersion - getOldestVersion(sample) > rule.boundVersions;
}
