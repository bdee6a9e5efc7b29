import { clone, equals, toJsonString } from "@bufbuild/protobuf";
import {
  type StepManifest,
  StepManifestSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import type { TableClient } from "../platform/table_client.ts";
import { readRecord } from "./read_record.ts";
import { refuse, type StepRefusal } from "./step_refusal.ts";

/** Name of the table that stores the manifests of steps. */
export const STEPS_TABLE = "steps";

const MAXIMUM_ATTEMPTS = 5;
const RETRY_AFTER_MILLISECONDS = 1000;
/** Number of digits of an epoch's number, padded with zeros so that epochs sort as text. */
const EPOCH_DIGITS = 6;

/** The manifest in the table after a submission or a cancellation, or a refusal. */
export type ManifestOutcome =
  | {
    readonly kind: "manifest";
    readonly manifest: StepManifest;
    /** Whether this call wrote the manifest. */
    readonly isNew: boolean;
  }
  | StepRefusal;

interface StoredManifest {
  readonly manifest: StepManifest;
  readonly rowVersion: number;
}

/**
 * Returns the key of a step in the table and in shared facts.
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
 * Stores the manifests of steps in the table. A manifest is written once and can then only be
 * marked as cancelled; a step that is submitted again after a cancellation gets a later epoch.
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

  /** Reads a step's manifest; the value is undefined when the step does not exist. */
  async get(
    trainer: string,
    step: string,
  ): Promise<PlatformOutcome<StepManifest | undefined>> {
    const outcome = await this.#read(toStepKey(trainer, step));
    if (outcome.kind !== "ok") return outcome;
    return { kind: "ok", value: outcome.value?.manifest };
  }

  /**
   * Writes the manifest of a step unless the step exists and is not cancelled; refuses a manifest
   * whose content differs from that of the existing step.
   * @param wanted - The manifest; the stored epoch is the given epoch after a number that increases
   * with each submission of the step after a cancellation.
   */
  async submit(wanted: StepManifest): Promise<ManifestOutcome> {
    const key = toStepKey(wanted.trainer, wanted.step);
    let mayHaveCommitted = false;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const stored = await this.#read(key);
      if (stored.kind !== "ok") {
        return refuseUnavailable(stored.reason, mayHaveCommitted);
      }
      const earlier = stored.value;
      if (earlier !== undefined && !earlier.manifest.cancelled) {
        return resolveResubmission(wanted, earlier.manifest);
      }
      const manifest = withNextEpoch(wanted, earlier?.manifest);
      const outcome = await this.#write(manifest, earlier?.rowVersion ?? 0);
      if (outcome.kind === "notRun") {
        return refuseUnavailable(outcome.reason, mayHaveCommitted);
      }
      if (outcome.kind === "unknown") mayHaveCommitted = true;
      if (outcome.kind === "ok" && outcome.value.kind === "committed") {
        return { kind: "manifest", manifest, isNew: true };
      }
    }
    return refuseUnavailable(
      "other writes changed the row in every attempt",
      mayHaveCommitted,
    );
  }

  /** Marks a step as cancelled; cancelling it again is idempotent. */
  async cancel(trainer: string, step: string): Promise<ManifestOutcome> {
    const key = toStepKey(trainer, step);
    let mayHaveCommitted = false;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const stored = await this.#read(key);
      if (stored.kind !== "ok") {
        return refuseUnavailable(stored.reason, mayHaveCommitted);
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
        return refuseUnavailable(outcome.reason, mayHaveCommitted);
      }
      if (outcome.kind === "unknown") mayHaveCommitted = true;
      if (outcome.kind === "ok" && outcome.value.kind === "committed") {
        return { kind: "manifest", manifest, isNew: true };
      }
    }
    return refuseUnavailable(
      "other writes changed the row in every attempt",
      mayHaveCommitted,
    );
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
      return {
        kind: "notRun",
        reason: `The row of step ${key} is not a valid manifest`,
      };
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
 * Creates the refusal of a request for an unknown step.
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

function resolveResubmission(
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

function withNextEpoch(
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

function refuseUnavailable(
  reason: string,
  mayHaveCommitted: boolean,
): StepRefusal {
  return refuse(
    "platformUnavailable",
    `The table can't be read or written: ${reason}`,
    {
      ran: mayHaveCommitted ? "unknown" : "notRun",
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    },
  );
}
