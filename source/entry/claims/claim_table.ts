import { create, fromJsonString, toJsonString } from "@bufbuild/protobuf";
import {
  type ClaimRecord,
  ClaimRecordSchema,
} from "../../../generated/snipepath/v1/records_pb.ts";
import type { PlatformOutcome } from "../../platform/platform_outcome.ts";
import type { TableClient } from "../../platform/table_client.ts";

const CLAIM_TABLE = "claims";

/** State of a claim; `unknown` if the call may have run without returning an answer. */
export type ClaimState = "running" | "finished" | "notRun" | "unknown";

/** A claim's record with the version of its row. */
export interface VersionedClaim {
  readonly record: ClaimRecord;
  /** Version of the row. */
  readonly version: number;
}

/** The claim as it was written, or `conflict` if the row had another version. */
export type ClaimWrite = VersionedClaim | "conflict";

/** Identifies the calls that share one claim. */
export interface ClaimName {
  readonly organisation: string;
  readonly route: string;
  /** The caller's idempotency key. */
  readonly key: string;
}

/** Stores the claims of calls that are not repeatable in the platform's table. */
export class ClaimTable {
  readonly #table: TableClient;

  /** @param table - The platform's table service. */
  constructor(table: TableClient) {
    this.#table = table;
  }

  /** Reads a claim; undefined if there is none. */
  async read(
    rowKey: string,
  ): Promise<PlatformOutcome<VersionedClaim | undefined>> {
    const row = await this.#table.get(CLAIM_TABLE, rowKey);
    if (row.kind !== "ok") return row;
    if (row.value === undefined) return { kind: "ok", value: undefined };
    const record = parseClaim(row.value.value);
    return { kind: "ok", value: { record, version: row.value.version } };
  }

  /**
   * Writes a claim if its row has the expected version.
   * @param rowKey - Key of the row.
   * @param record - The claim.
   * @param version - The expected version of the row; 0 for absent.
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
 * @param name - Organisation, route and idempotency key of the call.
 * @example
 * ```ts
 * const rowKey = claimRowKey({ organisation: "school", route: "orders", key: "order-7" });
 * ```
 */
export function claimRowKey(name: ClaimName): string {
  const parts = [name.organisation, name.route, name.key];
  return parts.map(encodeURIComponent).join("/");
}

// A row that can't be parsed may belong to a call that ran, so it never allows another run.
function parseClaim(value: string): ClaimRecord {
  try {
    const options = { ignoreUnknownFields: true };
    return fromJsonString(ClaimRecordSchema, value, options);
  } catch {
    return create(ClaimRecordSchema, { state: "unknown" });
  }
}
