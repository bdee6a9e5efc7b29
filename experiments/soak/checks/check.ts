import type { Evidence } from "../evidence.ts";

/** Returns the violations of a guarantee that the observations from outside the nodes show. */
export type Check = (evidence: Evidence) => ReadonlyArray<string>;
