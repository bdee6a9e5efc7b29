import { isCount, isUnixTime } from "../utilities/number_ranges.ts";

/** The stored description of a step, without its submission. */
export interface StepManifest {
  readonly identifier: string;
  readonly organisation: string;
  readonly host: string;
  /** Path that the step was submitted to; its route determines the service. */
  readonly path: string;
  /** Time of the step's first submission, in Unix milliseconds. */
  readonly submittedAt: number;
  /** Number of samples in the step. */
  readonly total: number;
  readonly model: string;
  readonly step: number;
  /** Name of the upload that holds the submission's bytes, unique in its partition. */
  readonly upload: string;
  /** Number of rows of the upload. */
  readonly chunks: number;
  /** Identity of the process that runs the step first. */
  readonly owner: string;
  /**
   * Region of the node to which the step was submitted, which is taken for its caller's; absent from
   * the rows of earlier versions of the program.
   */
  readonly submittedRegion?: string;
  /**
   * Oldest weight version that may generate the step's samples; absent from the rows of earlier
   * versions of the program.
   */
  readonly minimumVersion?: number;
}

/** More samples and rows than the body of a submission can have. */
const MAXIMUM_SAMPLES = 10_000_000;
const MAXIMUM_CHUNKS = 1_000_000;

/** Parses the value of a manifest row; returns undefined when it is malformed. */
export function readManifest(value: Buffer): StepManifest | undefined {
  try {
    const json = JSON.parse(value.toString()) as Partial<StepManifest> | null;
    return isManifest(json) ? json : undefined;
  } catch {
    return undefined;
  }
}

function isManifest(json: Partial<StepManifest> | null): json is StepManifest {
  if (json === null || typeof json !== "object") return false;
  const { identifier, organisation, host, path, model, upload, owner } = json;
  const { submittedRegion, minimumVersion } = json;
  const texts = [identifier, organisation, host, path, model, upload, owner];
  return texts.every((text) => typeof text === "string") &&
    isUnixTime(json.submittedAt) && isCount(json.step) &&
    isCount(json.total, MAXIMUM_SAMPLES) &&
    isCount(json.chunks, MAXIMUM_CHUNKS) &&
    (submittedRegion === undefined || typeof submittedRegion === "string") &&
    (minimumVersion === undefined || isCount(minimumVersion));
}

/** Partition of the manifest, owner, end and submission rows; no other component writes to it. */
export const STEP_PARTITION = "steps";

/** Names of the tables that store steps. */
export const STEP_TABLE = {
  /** Manifest, owner and end rows of all steps, in one partition. */
  steps: "steps",
  /** Bytes of all submissions, in one partition. */
  submissions: "submissions",
  /** Listed results, in one partition for each step. */
  results: "results",
  /** Unfinished texts, in one partition for each step. */
  progress: "progress",
} as const;

/** Kinds of rows that a step has in the steps table. */
export type StepRowKind = "manifest" | "owner" | "end";

/** Returns the key of one of a step's rows. */
export function toStepKey(identifier: string, kind: StepRowKind): string {
  return `${identifier}/${kind}`;
}

/** Parses a key of the steps table; returns undefined when it is not a step row's key. */
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
