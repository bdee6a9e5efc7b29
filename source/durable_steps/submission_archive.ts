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

/** Bytes of one transaction's rows: three quarters of the store's 1 MB, as rows grow by a third in base64. */
const TRANSACTION_BYTES = 700_000;
/** Share of the largest row that a chunk takes. */
const CHUNK_SHARE = 0.9;
const KEPT_SUBMISSIONS = 16;

/** What a submission archive works with. */
export interface SubmissionArchiveOptions {
  readonly table: DurableTable;
  readonly rowBytes: number;
  readonly read: ReadSubmission;
}

type RowPut = RowTransaction["puts"][number];

/** Keeps the bytes of submissions in rows of the store. */
export class SubmissionArchive {
  readonly #options: SubmissionArchiveOptions;
  readonly #kept = new LRUCache<string, StepSubmission>({
    max: KEPT_SUBMISSIONS,
  });

  /** @param options - The store and how submissions are read. */
  constructor(options: SubmissionArchiveOptions) {
    this.#options = options;
  }

  /** Cuts a submission's bytes into rows. */
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
   * Splits rows into those that fit beside a manifest in one transaction and earlier ones.
   * @returns Transactions to be applied before, and the rows for the last one.
   */
  toTransactions(rows: ReadonlyArray<RowPut>): {
    readonly before: ReadonlyArray<RowTransaction>;
    readonly last: ReadonlyArray<RowPut>;
  } {
    const groups: RowPut[][] = [[]];
    let bytes = 0;
    for (const row of rows) {
      if (bytes + row.value.length > TRANSACTION_BYTES) {
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

  /** Keeps a submission at hand that this node has just accepted. */
  remember(identifier: string, submission: StepSubmission): void {
    this.#kept.set(identifier, submission);
  }

  /** Returns a step's submission if it is at hand. */
  peek(identifier: string): StepSubmission | undefined {
    return this.#kept.get(identifier);
  }

  /** Loads a step's submission. */
  async load(
    manifest: StepManifest,
  ): Promise<PlatformOutcome<StepSubmission>> {
    const kept = this.#kept.get(manifest.identifier);
    if (kept !== undefined) return { kind: "ok", value: kept };
    const outcome = await this.#readChunks(manifest);
    if (outcome.kind !== "ok") return outcome;
    const submission = this.#options.read(outcome.value);
    if (submission === undefined) {
      return { kind: "unknown", reason: "The stored submission is malformed" };
    }
    this.#kept.set(manifest.identifier, submission);
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
