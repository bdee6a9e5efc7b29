/** What is kept of a step beside its submission. */
export interface StepManifest {
  readonly identifier: string;
  readonly organisation: string;
  readonly host: string;
  /** Path that the step was submitted under; its route gives the service. */
  readonly path: string;
  /** Unix milliseconds at which the step was first submitted. */
  readonly submittedAt: number;
  /** Samples in the step. */
  readonly total: number;
  readonly model: string;
  readonly step: number;
  /** Partition-wide name of the upload that holds the submission's bytes. */
  readonly upload: string;
  /** Rows of that upload. */
  readonly chunks: number;
  /** Process that runs the step first. */
  readonly owner: string;
}

/** Reads a manifest's row; undefined when it is malformed. */
export function readManifest(value: Buffer): StepManifest | undefined {
  try {
    return JSON.parse(value.toString()) as StepManifest;
  } catch {
    return undefined;
  }
}

/** Partition of manifests, owners, ends and submissions, apart from other writers. */
export const STEP_PARTITION = "steps";

/** Names of the store's tables of steps. */
export const STEP_TABLE = {
  /** Manifests, owners and ends, in one partition. */
  steps: "steps",
  /** Bytes of submissions, in one partition. */
  submissions: "submissions",
  /** Listed results, each step in a partition of its own. */
  results: "results",
  /** Texts under way, each step in a partition of its own. */
  progress: "progress",
} as const;

/** Rows that a step has in the table of steps. */
export type StepRowKind = "manifest" | "owner" | "end";

/** Returns the key of a step's row. */
export function toStepKey(identifier: string, kind: StepRowKind): string {
  return `${identifier}/${kind}`;
}

/** Splits a key of the table of steps; undefined when it is none. */
export function readStepKey(
  key: string,
): { readonly identifier: string; readonly kind: StepRowKind } | undefined {
  const separator = key.lastIndexOf("/");
  const kind = key.slice(separator + 1);
  if (kind !== "manifest" && kind !== "owner" && kind !== "end") {
    return undefined;
  }
  return { identifier: key.slice(0, separator), kind };
}
