import { create, fromJsonString, toJsonString } from "@bufbuild/protobuf";
import {
  type ClaimRecord,
  ClaimRecordSchema,
} from "../../../generated/snipepath/v1/records_pb.ts";
import type { PlatformOutcome } from "../../platform/platform_outcome.ts";
import type { TableClient } from "../../platform/table_client.ts";

const CLAIM_TABLE = "claims";

/** State of a claim; `unknown` when the call may have run without an answer. */
export type ClaimState = "running" | "finished" | "notRun" | "unknown";

/** A claim's record with the version of its row. */
export interface VersionedClaim {
  readonly record: ClaimRecord;
  readonly version: number;
}

/** A claim as it was written, or that another writer was first. */
export type ClaimWrite = VersionedClaim | "conflict";

/** What a claim is made for. */
export interface ClaimName {
  readonly organisation: string;
  readonly route: string;
  /** The caller's idempotency key. */
  readonly key: string;
}

/** Claims of calls that may not be repeated, in the platform's table. */
export class ClaimTable {
  readonly #table: TableClient;

  /** @param table - The platform's table service. */
  constructor(table: TableClient) {
    this.#table = table;
  }

  /** Reads a claim; undefined when there is none. */
  async read(
    rowKey: string,
  ): Promise<PlatformOutcome<VersionedClaim | undefined>> {
    const row = await this.#table.get(CLAIM_TABLE, rowKey);
    if (row.kind !== "ok") return row;
    if (row.value === undefined) return { kind: "ok", value: undefined };
    const record = parse(row.value.value);
    return { kind: "ok", value: { record, version: row.value.version } };
  }

  /**
   * Writes a claim if its row has a version.
   * @param rowKey - The row's key.
   * @param record - The claim.
   * @param version - The version that the row must have; 0 for absent.
   */
  async write(
    rowKey: string,
    record: ClaimRecord,
    version: number,
  ): Promise<PlatformOutcome<ClaimWrite>> {
    const result = await this.#table.commit({
      conditions: [{ table: CLAIM_TABLE, key: rowKey, version }],
      writes: [{
        table: CLAIM_TABLE,
        key: rowKey,
        value: toJsonString(ClaimRecordSchema, record),
      }],
    });
    if (result.kind !== "ok") return result;
    if (result.value.kind === "conflict") {
      return { kind: "ok", value: "conflict" };
    }
    const written = result.value.versions[0] ?? 0;
    return { kind: "ok", value: { record, version: written } };
  }
}

/**
 * Returns the key of a claim's row.
 * @param name - What the claim is made for.
 * @example
 * ```ts
 * const rowKey = claimRowKey({ organisation: "school", route: "orders", key: "order-7" });
 * ```
 */
export function claimRowKey(name: ClaimName): string {
  const parts = [name.organisation, name.route, name.key];
  return parts.map(encodeURIComponent).join("/");
}

// A row that can't be read may be a claim of a call that ran, so it is never taken over.
function parse(value: string): ClaimRecord {
  try {
    const options = { ignoreUnknownFields: true };
    return fromJsonString(ClaimRecordSchema, value, options);
  } catch {
    return create(ClaimRecordSchema, { state: "unknown" });
  }
}
