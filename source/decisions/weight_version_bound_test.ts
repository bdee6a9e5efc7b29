import test from "ava";
import { mayUseVersions } from "./weight_version_bound.ts";

const CASES: ReadonlyArray<{
  readonly versions: ReadonlyArray<number>;
  readonly isSingleVersion: boolean;
  readonly isUsable: boolean;
}> = [
  { versions: [], isSingleVersion: true, isUsable: true },
  { versions: [6], isSingleVersion: true, isUsable: true },
  { versions: [5], isSingleVersion: false, isUsable: false },
  { versions: [6, 7], isSingleVersion: false, isUsable: true },
  { versions: [6, 7], isSingleVersion: true, isUsable: false },
  { versions: [7, 5], isSingleVersion: false, isUsable: false },
];

for (const { versions, isSingleVersion, isUsable } of CASES) {
  const route = isSingleVersion ? "a single-version" : "any other";
  test(`on ${route} route, versions [${versions}] from 6 on are usable: ${isUsable}`, (t) => {
    t.is(
      mayUseVersions(versions, { minimumVersion: 6, isSingleVersion }),
      isUsable,
    );
  });
}
