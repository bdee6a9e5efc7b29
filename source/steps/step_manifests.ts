import { clone, equals, toJsonString } from "@bufbuild/protobuf";
import {
  type StepManifest,
  StepManifestSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import type { TableClient } from "../platform/table_client.ts";
import { readRecord } from "./read_record.ts";
import { refuse, type StepRefusal } from "./step_refusal.ts";

/** Table that holds the manifests of steps. */
export const STEPS_TABLE = "steps";

const MAXIMUM_ATTEMPTS = 5;
const RETRY_AFTER_MILLISECONDS = 1000;
const EPOCH_DIGITS = 6;

/** The manifest in the table after a submission or a cancel. */
export type ManifestOutcome =
  | {
    readonly kind: "manifest";
    readonly manifest: StepManifest;
    /** Whether this call wrote it. */
    readonly isNew: boolean;
  }
  | StepRefusal;

interface StoredManifest {
  readonly manifest: StepManifest;
  readonly rowVersion: number;
}

/**
 * Returns the key of a step in the table and in told facts.
 * @param trainer - The trainer's name.
 * @param step - The step's name.
 * @example
 * ```ts
 * toStepKey("dots", "17"); // "dots/17"
 * ```
 */
export function toStepKey(trainer: string, step: string): string {
  return `${encodeURIComponent(trainer)}/${encodeURIComponent(step)}`;
}

/**
 * Manifests of steps in the table. Each is written once and can only be cancelled; a step that is
 * submitted again after a cancel gets a later epoch.
 * @example
 * ```ts
 * const manifests = new StepManifests(platform.table);
 * const outcome = await manifests.submit(manifest);
 * ```
 */
export class StepManifests {
  readonly #table: TableClient;

  /** @param table - The platform's table service. */
  constructor(table: TableClient) {
    this.#table = table;
  }

  /** Reads a step; undefined when there is none of that name. */
  async get(
    trainer: string,
    step: string,
  ): Promise<PlatformOutcome<StepManifest | undefined>> {
    const outcome = await this.#read(toStepKey(trainer, step));
    if (outcome.kind !== "ok") return outcome;
    return { kind: "ok", value: outcome.value?.manifest };
  }

  /**
   * Writes a step unless it is there already.
   * @param wanted - The step; the epoch's number is set in front of the given epoch.
   */
  async submit(wanted: StepManifest): Promise<ManifestOutcome> {
    const key = toStepKey(wanted.trainer, wanted.step);
    let mayHaveRun = false;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const stored = await this.#read(key);
      if (stored.kind !== "ok") {
        return refuseUnavailable(stored.reason, mayHaveRun);
      }
      const earlier = stored.value;
      if (earlier !== undefined && !earlier.manifest.cancelled) {
        return compareWithEarlier(wanted, earlier.manifest);
      }
      const manifest = withEpochAfter(wanted, earlier?.manifest);
      const outcome = await this.#write(manifest, earlier?.rowVersion ?? 0);
      if (outcome.kind === "notRun") {
        return refuseUnavailable(outcome.reason, mayHaveRun);
      }
      if (outcome.kind === "unknown") mayHaveRun = true;
      if (outcome.kind === "ok" && outcome.value.kind === "committed") {
        return { kind: "manifest", manifest, isNew: true };
      }
    }
    return refuseUnavailable("The row changed too often", mayHaveRun);
  }

  /** Marks a step as cancelled; a cancelled one may be cancelled again. */
  async cancel(trainer: string, step: string): Promise<ManifestOutcome> {
    const key = toStepKey(trainer, step);
    let mayHaveRun = false;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const stored = await this.#read(key);
      if (stored.kind !== "ok") {
        return refuseUnavailable(stored.reason, mayHaveRun);
      }
      const earlier = stored.value;
      if (earlier === undefined) return refuseUnknownStep(trainer, step);
      if (earlier.manifest.cancelled) {
        return { kind: "manifest", manifest: earlier.manifest, isNew: false };
      }
      const manifest = clone(StepManifestSchema, earlier.manifest);
      manifest.cancelled = true;
      const outcome = await this.#write(manifest, earlier.rowVersion);
      if (outcome.kind === "notRun") {
        return refuseUnavailable(outcome.reason, mayHaveRun);
      }
      if (outcome.kind === "unknown") mayHaveRun = true;
      if (outcome.kind === "ok" && outcome.value.kind === "committed") {
        return { kind: "manifest", manifest, isNew: true };
      }
    }
    return refuseUnavailable("The row changed too often", mayHaveRun);
  }

  async #read(
    key: string,
  ): Promise<PlatformOutcome<StoredManifest | undefined>> {
    const outcome = await this.#table.get(STEPS_TABLE, key);
    if (outcome.kind !== "ok") return outcome;
    const row = outcome.value;
    if (row === undefined) return { kind: "ok", value: undefined };
    const manifest = readRecord(StepManifestSchema, row.value);
    if (manifest === undefined) {
      return { kind: "notRun", reason: `The row of step ${key} is damaged` };
    }
    return { kind: "ok", value: { manifest, rowVersion: row.version } };
  }

  #write(
    manifest: StepManifest,
    version: number,
  ): ReturnType<TableClient["commit"]> {
    const key = toStepKey(manifest.trainer, manifest.step);
    return this.#table.commit({
      conditions: [{ table: STEPS_TABLE, key, version }],
      writes: [{
        table: STEPS_TABLE,
        key,
        value: toJsonString(StepManifestSchema, manifest),
      }],
    });
  }
}

/**
 * Refuses a request for a step that is not known.
 * @param trainer - The trainer's name.
 * @param step - The step's name.
 * @example
 * ```ts
 * return refuseUnknownStep("dots", "17");
 * ```
 */
export function refuseUnknownStep(trainer: string, step: string): StepRefusal {
  return refuse("notFound", `Trainer ${trainer} has no step ${step}`, {
    field: "step",
  });
}

function compareWithEarlier(
  wanted: StepManifest,
  earlier: StepManifest,
): ManifestOutcome {
  if (hasSameContent(wanted, earlier)) {
    return { kind: "manifest", manifest: earlier, isNew: false };
  }
  return refuse(
    "conflict",
    `Step ${wanted.step} was submitted before with other content`,
    { field: "step" },
  );
}

function hasSameContent(left: StepManifest, right: StepManifest): boolean {
  const comparable = clone(StepManifestSchema, left);
  comparable.epoch = right.epoch;
  comparable.owner = right.owner;
  comparable.cancelled = right.cancelled;
  comparable.service = right.service;
  comparable.submittedAtUnixMilliseconds = right.submittedAtUnixMilliseconds;
  comparable.deadlineSeconds = right.deadlineSeconds;
  return equals(StepManifestSchema, comparable, right);
}

function withEpochAfter(
  wanted: StepManifest,
  earlier: StepManifest | undefined,
): StepManifest {
  const number = Number.parseInt(earlier?.epoch ?? "0", 10) + 1;
  const manifest = clone(StepManifestSchema, wanted);
  manifest.epoch = `${
    String(number).padStart(EPOCH_DIGITS, "0")
  }-${wanted.epoch}`;
  return manifest;
}

function refuseUnavailable(reason: string, mayHaveRun: boolean): StepRefusal {
  return refuse("platformUnavailable", `The table did not answer: ${reason}`, {
    ran: mayHaveRun ? "unknown" : "notRun",
    retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
  });
}
