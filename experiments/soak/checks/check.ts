import type { Evidence } from "../evidence.ts";

/** Finds where a promise was broken, from what was seen outside the nodes. */
export type Check = (evidence: Evidence) => ReadonlyArray<string>;
