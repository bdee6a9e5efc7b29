import { create, fromJsonString, toJsonString } from "@bufbuild/protobuf";
import {
  KeyChangeHeadSchema,
  type KeyRecord,
  KeyRecordSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import type { Row, TableClient } from "../platform/table_client.ts";

const KEY_TABLE = "keys";
const CHANGE_TABLE = "key_changes";
const HEAD_KEY = "head";
const SEQUENCE_DIGITS = 10;
const PAGE_ROWS = 500;

/** A key's record with the version of its row. */
export interface VersionedKeyRecord {
  readonly record: KeyRecord;
  /** Version of the row; 0 if the row is absent. */
  readonly version: number;
}

/** One page of all keys. */
export interface KeyPage {
  readonly records: ReadonlyArray<KeyRecord>;
  /** Identifier after which the next page starts; undefined after the last page. */
  readonly next: string | undefined;
}

/** Changes of keys after a sequence number. */
export interface KeyChanges {
  readonly records: ReadonlyArray<KeyRecord>;
  /** Sequence number of the newest change read. */
  readonly sequence: number;
  /** Whether the table has more changes after these. */
  readonly more: boolean;
}

/** The result of writing a key's record. */
export type KeyWriteResult = "written" | "conflict";

/** Stores the keys and the numbered log of their changes in the platform's table. */
export class KeyTable {
  readonly #table: TableClient;

  /** @param table - The platform's table service. */
  constructor(table: TableClient) {
    this.#table = table;
  }

  /** Reads one key's record; undefined if there is none. */
  async read(
    identifier: string,
  ): Promise<PlatformOutcome<VersionedKeyRecord | undefined>> {
    const row = await this.#table.get(KEY_TABLE, identifier);
    if (row.kind !== "ok") return row;
    const record = parseRecord(row.value);
    if (record === undefined) return { kind: "ok", value: undefined };
    const version = row.value?.version ?? 0;
    return { kind: "ok", value: { record, version } };
  }

  /** Reads the sequence number of the newest change; 0 before the first. */
  async readSequence(): Promise<PlatformOutcome<number>> {
    const head = await this.#readHead();
    if (head.kind !== "ok") return head;
    return { kind: "ok", value: head.value.sequence };
  }

  /**
   * Reads one page of all keys.
   * @param after - Identifier after which the page starts; empty for the first page.
   */
  async readPage(after: string): Promise<PlatformOutcome<KeyPage>> {
    const rows = await this.#table.list(KEY_TABLE, {
      prefix: "",
      after,
      maximum: PAGE_ROWS,
    });
    if (rows.kind !== "ok") return rows;
    const isLast = rows.value.length < PAGE_ROWS;
    return {
      kind: "ok",
      value: {
        records: parseRecords(rows.value),
        next: isLast ? undefined : rows.value.at(-1)?.key,
      },
    };
  }

  /**
   * Reads the changes after a sequence number.
   * @param sequence - Sequence number of the newest change already read.
   */
  async readChanges(sequence: number): Promise<PlatformOutcome<KeyChanges>> {
    const rows = await this.#table.list(CHANGE_TABLE, {
      prefix: "",
      after: changeKey(sequence),
      maximum: PAGE_ROWS,
    });
    if (rows.kind !== "ok") return rows;
    const changes = rows.value.filter((row) => row.key !== HEAD_KEY);
    const newest = changes.at(-1)?.key;
    return {
      kind: "ok",
      value: {
        records: parseRecords(changes),
        sequence: newest === undefined ? sequence : Number(newest),
        more: rows.value.length >= PAGE_ROWS,
      },
    };
  }

  /**
   * Writes a key's record and an entry of the change log in one transaction.
   * @param record - The new record.
   * @param version - The version that the record's row must have for the write to succeed; 0 for absent.
   */
  async write(
    record: KeyRecord,
    version: number,
  ): Promise<PlatformOutcome<KeyWriteResult>> {
    const head = await this.#readHead();
    if (head.kind !== "ok") return { kind: "notRun", reason: head.reason };
    const sequence = head.value.sequence + 1;
    const value = toJsonString(KeyRecordSchema, record);
    const next = create(KeyChangeHeadSchema, { sequence: BigInt(sequence) });
    const result = await this.#table.commit({
      conditions: [
        { table: KEY_TABLE, key: record.keyIdentifier, version },
        { table: CHANGE_TABLE, key: HEAD_KEY, version: head.value.version },
      ],
      writes: [
        { table: KEY_TABLE, key: record.keyIdentifier, value },
        { table: CHANGE_TABLE, key: changeKey(sequence), value },
        {
          table: CHANGE_TABLE,
          key: HEAD_KEY,
          value: toJsonString(KeyChangeHeadSchema, next),
        },
      ],
    });
    if (result.kind !== "ok") return result;
    const isCommitted = result.value.kind === "committed";
    return { kind: "ok", value: isCommitted ? "written" : "conflict" };
  }

  async #readHead(): Promise<
    PlatformOutcome<{ readonly sequence: number; readonly version: number }>
  > {
    const row = await this.#table.get(CHANGE_TABLE, HEAD_KEY);
    if (row.kind !== "ok") return row;
    if (row.value === undefined) {
      return { kind: "ok", value: { sequence: 0, version: 0 } };
    }
    const sequence = parseSequence(row.value.value);
    if (sequence === undefined) {
      return { kind: "notRun", reason: "Row key_changes/head is unreadable" };
    }
    return { kind: "ok", value: { sequence, version: row.value.version } };
  }
}

function changeKey(sequence: number): string {
  return String(sequence).padStart(SEQUENCE_DIGITS, "0");
}

function parseSequence(value: string): number | undefined {
  try {
    return Number(fromJsonString(KeyChangeHeadSchema, value).sequence);
  } catch {
    return undefined;
  }
}

function parseRecords(rows: ReadonlyArray<Row>): ReadonlyArray<KeyRecord> {
  return rows.map(parseRecord).filter((record) => record !== undefined);
}

// A row that can't be parsed is treated as absent, so that a key whose record is not cached is
// refused.
function parseRecord(row: Row | undefined): KeyRecord | undefined {
  if (row === undefined) return undefined;
  try {
    return fromJsonString(KeyRecordSchema, row.value, {
      ignoreUnknownFields: true,
    });
  } catch {
    return undefined;
  }
}
