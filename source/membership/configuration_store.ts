import { create, fromJsonString, toJsonString } from "@bufbuild/protobuf";
import { digestDeclaration } from "../declarations/digest_declaration.ts";
import type {
  ApplyOutcome,
  ApplyRequest,
} from "../operators/configuration_writer.ts";
import type { Declaration } from "../../generated/snipepath/v1/declaration_pb.ts";
import {
  type ConfigurationRecord,
  ConfigurationRecordSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type {
  PlatformFailure,
  PlatformOutcome,
} from "../platform/platform_outcome.ts";
import type { Row, TableClient } from "../platform/table_client.ts";
import type { Clock } from "../utilities/clock.ts";

/** Table that holds the configuration. */
export const CONFIGURATION_TABLE = "configuration";
/** Key of the revision in force. */
export const CURRENT_KEY = "current";
const REVISION_PREFIX = "revision/";
const REVISION_DIGITS = 10;
const READ_BACK_ATTEMPTS = 3;
const READ_BACK_DELAY_MILLISECONDS = 200;
const HISTORY_PAGE_ROWS = 500;

/** Reads and writes the configuration in the platform's table. */
export class ConfigurationStore {
  readonly #table: TableClient;
  readonly #clock: Clock;

  /**
   * @param table - The platform's table service.
   * @param clock - Source of the time at which a revision is applied.
   */
  constructor(table: TableClient, clock: Clock) {
    this.#table = table;
    this.#clock = clock;
  }

  /** Reads the revision in force; undefined when the table has none. */
  async read(): Promise<PlatformOutcome<ConfigurationRecord | undefined>> {
    const outcome = await this.#table.get(CONFIGURATION_TABLE, CURRENT_KEY);
    if (outcome.kind !== "ok") return outcome;
    return parseRow(outcome.value);
  }

  /** Applies a declaration by compare-and-set on the revision. */
  async apply(
    declaration: Declaration,
    { expectedRevision, note }: ApplyRequest,
  ): Promise<ApplyOutcome> {
    const row = await this.#table.get(CONFIGURATION_TABLE, CURRENT_KEY);
    if (row.kind !== "ok") return toUnavailable(row, false);
    const current = parseRow(row.value);
    if (current.kind !== "ok") return toUnavailable(current, false);
    const digest = digestDeclaration(declaration);
    if (current.value?.digest === digest) {
      return { kind: "unchanged", record: current.value };
    }
    const revision = Number(current.value?.revision ?? 0n);
    if (revision !== expectedRevision) {
      return toConflict(current.value);
    }
    const record = create(ConfigurationRecordSchema, {
      revision: BigInt(revision + 1),
      declaration,
      digest,
      appliedAtUnixMilliseconds: BigInt(Math.round(this.#clock.wall())),
      note,
    });
    return this.#commit(record, row.value?.version ?? 0);
  }

  /** Returns the newest revisions, the newest first. */
  async history(
    maximum: number,
  ): Promise<PlatformOutcome<ReadonlyArray<ConfigurationRecord>>> {
    const newest = await this.read();
    if (newest.kind !== "ok") return newest;
    if (newest.value === undefined) return { kind: "ok", value: [] };
    const first = Math.max(0, Number(newest.value.revision) - maximum);
    const listed = await this.#table.list(CONFIGURATION_TABLE, {
      prefix: REVISION_PREFIX,
      after: revisionKey(first),
      maximum: Math.min(maximum, HISTORY_PAGE_ROWS),
    });
    if (listed.kind !== "ok") return listed;
    const records: ConfigurationRecord[] = [];
    for (const row of listed.value) {
      const record = parseRow(row);
      if (record.kind !== "ok") return record;
      if (record.value !== undefined) records.unshift(record.value);
    }
    return { kind: "ok", value: records };
  }

  async #commit(
    record: ConfigurationRecord,
    version: number,
  ): Promise<ApplyOutcome> {
    const value = toJsonString(ConfigurationRecordSchema, record);
    const key = revisionKey(Number(record.revision));
    const table = CONFIGURATION_TABLE;
    const outcome = await this.#table.commit({
      conditions: [{ table, key: CURRENT_KEY, version }, {
        table,
        key,
        version: 0,
      }],
      writes: [{ table, key: CURRENT_KEY, value }, { table, key, value }],
    });
    if (outcome.kind === "ok") {
      const isCommitted = outcome.value.kind === "committed";
      return isCommitted ? { kind: "accepted", record } : this.#conflict();
    }
    if (outcome.kind === "notRun") return toUnavailable(outcome, false);
    return this.#readBack(record, outcome);
  }

  /**
   * Reads the revision's row after a commit without a response, to find out whether this or another
   * commit wrote it.
   */
  async #readBack(
    record: ConfigurationRecord,
    failure: PlatformFailure,
  ): Promise<ApplyOutcome> {
    const key = revisionKey(Number(record.revision));
    for (let attempt = 1; attempt <= READ_BACK_ATTEMPTS; attempt += 1) {
      const row = await this.#table.get(CONFIGURATION_TABLE, key);
      const found = row.kind === "ok" ? parseRow(row.value) : row;
      if (found.kind === "ok" && found.value !== undefined) {
        if (isSameChange(found.value, record)) {
          return { kind: "accepted", record: found.value };
        }
        return this.#conflict();
      }
      await this.#clock.sleep(READ_BACK_DELAY_MILLISECONDS * attempt);
    }
    return toUnavailable(failure, true);
  }

  async #conflict(): Promise<ApplyOutcome> {
    const winner = await this.read();
    if (winner.kind !== "ok") return toUnavailable(winner, false);
    return toConflict(winner.value);
  }
}

/**
 * Returns the key of a revision in the history.
 * @param revision - The revision's number.
 */
export function revisionKey(revision: number): string {
  return REVISION_PREFIX + String(revision).padStart(REVISION_DIGITS, "0");
}

function parseRow(
  row: Row | undefined,
): PlatformOutcome<ConfigurationRecord | undefined> {
  if (row === undefined) return { kind: "ok", value: undefined };
  try {
    const options = { ignoreUnknownFields: true };
    const record = fromJsonString(
      ConfigurationRecordSchema,
      row.value,
      options,
    );
    return { kind: "ok", value: record };
  } catch (error) {
    return {
      kind: "notRun",
      reason: `Row ${row.key} can't be parsed: ${error}`,
    };
  }
}

function isSameChange(
  left: ConfigurationRecord,
  right: ConfigurationRecord,
): boolean {
  return left.digest === right.digest && left.note === right.note &&
    left.appliedAtUnixMilliseconds === right.appliedAtUnixMilliseconds;
}

/** Returns a conflict with the revision in force, or with revision 0 when there is no configuration. */
function toConflict(winner: ConfigurationRecord | undefined): ApplyOutcome {
  const record = winner ?? create(ConfigurationRecordSchema);
  return { kind: "conflict", record };
}

function toUnavailable(
  failure: PlatformFailure,
  unknown: boolean,
): ApplyOutcome {
  return { kind: "unavailable", reason: failure.reason, unknown };
}
