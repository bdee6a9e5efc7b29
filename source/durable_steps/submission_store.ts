import { LRUCache } from "lru-cache";
import type {
  DurableTable,
  RowTransaction,
  StoredRow,
} from "../platform/durable_table.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import {
  STEP_PARTITION,
  STEP_TABLE,
  type StepManifest,
} from "./step_manifest.ts";
import type { ReadSubmission, StepSubmission } from "./step_submission.ts";

/**
 * Maximum size of the row values in one transaction, in bytes; below three quarters of the store's
 * 1 MB limit, as base64 adds a third to the size of a row.
 */
const MAXIMUM_TRANSACTION_BYTES = 700_000;
/** Maximum size of a chunk, as a share of the maximum row size. */
const CHUNK_SHARE = 0.9;
const MAXIMUM_CACHED_SUBMISSIONS = 16;

/** Dependencies of a submission store. */
export interface SubmissionStoreOptions {
  readonly table: DurableTable;
  /** Maximum size of a row's value, in bytes. */
  readonly rowBytes: number;
  readonly readSubmission: ReadSubmission;
}

type RowPut = RowTransaction["puts"][number];

/** Stores the bytes of submissions in rows of a durable table, and caches parsed submissions. */
export class SubmissionStore {
  readonly #options: SubmissionStoreOptions;
  readonly #cache = new LRUCache<string, StepSubmission>({
    max: MAXIMUM_CACHED_SUBMISSIONS,
  });

  /** @param options - The durable table, its maximum row size and the submission parser. */
  constructor(options: SubmissionStoreOptions) {
    this.#options = options;
  }

  /** Splits the bytes of a submission into rows. */
  toRows(upload: string, body: Buffer): ReadonlyArray<RowPut> {
    const bytes = Math.floor(CHUNK_SHARE * this.#options.rowBytes);
    const rows: RowPut[] = [];
    for (let start = 0; start < body.length; start += bytes) {
      rows.push({
        table: STEP_TABLE.submissions,
        partition: STEP_PARTITION,
        key: toChunkKey(upload, rows.length),
        value: body.subarray(start, start + bytes),
      });
    }
    return rows;
  }

  /**
   * Groups rows into transactions, the last of which also writes the manifest.
   * @returns The transactions to commit first, and the rows to commit together with the manifest.
   */
  toTransactions(rows: ReadonlyArray<RowPut>): {
    readonly before: ReadonlyArray<RowTransaction>;
    readonly last: ReadonlyArray<RowPut>;
  } {
    const groups: RowPut[][] = [[]];
    let bytes = 0;
    for (const row of rows) {
      if (bytes + row.value.length > MAXIMUM_TRANSACTION_BYTES) {
        groups.push([]);
        bytes = 0;
      }
      groups.at(-1)?.push(row);
      bytes += row.value.length;
    }
    const last = groups.pop() ?? [];
    const before = groups.map((puts) => ({ conditions: [], puts }));
    return { before, last };
  }

  /** Caches a submission that this node has just accepted. */
  addToCache(identifier: string, submission: StepSubmission): void {
    this.#cache.set(identifier, submission);
  }

  /** Returns the submission of a step if it is cached. */
  getCached(identifier: string): StepSubmission | undefined {
    return this.#cache.get(identifier);
  }

  /** Loads the submission of a step from the cache or the store. */
  async load(
    manifest: StepManifest,
  ): Promise<PlatformOutcome<StepSubmission>> {
    const cached = this.#cache.get(manifest.identifier);
    if (cached !== undefined) return { kind: "ok", value: cached };
    const outcome = await this.#readChunks(manifest);
    if (outcome.kind !== "ok") return outcome;
    const submission = this.#options.readSubmission(outcome.value);
    if (submission === undefined) {
      return { kind: "unknown", reason: "The stored submission is malformed" };
    }
    this.#cache.set(manifest.identifier, submission);
    return { kind: "ok", value: submission };
  }

  async #readChunks(
    { upload, chunks }: StepManifest,
  ): Promise<PlatformOutcome<Buffer>> {
    const rows: StoredRow[] = [];
    while (rows.length < chunks) {
      const outcome = await this.#options.table.read(STEP_TABLE.submissions, {
        partition: STEP_PARTITION,
        from: toChunkKey(upload, rows.length),
        to: toChunkKey(upload, chunks),
      });
      if (outcome.kind !== "ok") return outcome;
      if (outcome.value.rows.length === 0) {
        return {
          kind: "unknown",
          reason: "Rows of the submission are missing",
        };
      }
      rows.push(...outcome.value.rows);
    }
    return { kind: "ok", value: Buffer.concat(rows.map(({ value }) => value)) };
  }
}

function toChunkKey(upload: string, index: number): string {
  return `${upload}/${String(index).padStart(5, "0")}`;
}
