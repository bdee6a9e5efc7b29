import type {
  DurableTable,
  RowTransaction,
  StoredRow,
} from "../platform/durable_table.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import type { SampleResult } from "./sample_result.ts";
import { STEP_TABLE } from "./step_manifest.ts";

/** Maximum size of a piece of a result, as a share of the maximum row size. */
const PIECE_SHARE = 0.9;
/**
 * Maximum size of the row values in one transaction, in bytes, unless one result alone is larger.
 * It is below the 750 kB that the store's 1 MB limit leaves, as base64 adds a third.
 */
const MAXIMUM_TRANSACTION_BYTES = 600_000;
/**
 * Maximum number of conditions and rows in one transaction, below the store's limit of 100. Each
 * result adds one condition and at least one row.
 */
const MAXIMUM_TRANSACTION_ENTRIES = 96;
const POSITION_DIGITS = 7;

/** The result of appending to the list of a step. */
export type AppendResult =
  | { readonly kind: "appended"; readonly count: number }
  /** One of the positions is already taken, so the caller must read the new results first. */
  | { readonly kind: "conflict" };

/**
 * Reads and appends the ordered result lists of steps in the store.
 *
 * A writer that has read all earlier positions writes a result on the condition that its position
 * is free. So no result is listed twice and no position changes, even if several nodes write or the
 * store applies a write after its response was lost.
 */
export class ResultList {
  readonly #table: DurableTable;
  readonly #pieceBytes: number;

  /**
   * @param table - The store.
   * @param rowBytes - Maximum size of a row's value, in bytes.
   */
  constructor(table: DurableTable, rowBytes: number) {
    this.#table = table;
    this.#pieceBytes = Math.floor(PIECE_SHARE * rowBytes);
  }

  /** Reads the results from a position on, as many as the store returns in one response. */
  async read(
    step: string,
    position: number,
  ): Promise<PlatformOutcome<ReadonlyArray<SampleResult>>> {
    const outcome = await this.#table.read(STEP_TABLE.results, {
      partition: step,
      from: toKey(position, 0),
    });
    if (outcome.kind !== "ok") return outcome;
    const results: SampleResult[] = [];
    for (const pieces of groupPieces(outcome.value.rows)) {
      const result = joinPieces(pieces);
      if (result === undefined) break;
      results.push(result);
    }
    if (results.length === 0 && outcome.value.rows.length > 0) {
      return { kind: "unknown", reason: "Rows of results are malformed" };
    }
    return { kind: "ok", value: results };
  }

  /** Reads all results from a position on. */
  async readAll(
    step: string,
    position: number,
  ): Promise<PlatformOutcome<ReadonlyArray<SampleResult>>> {
    const all: SampleResult[] = [];
    for (;;) {
      const outcome = await this.read(step, position + all.length);
      if (outcome.kind !== "ok") return outcome;
      if (outcome.value.length === 0) return { kind: "ok", value: all };
      all.push(...outcome.value);
    }
  }

  /**
   * Appends results at a position. The caller must have read all earlier positions.
   * @returns The number of appended results, which are the first ones that fit in one transaction;
   * `conflict` when one of their positions is already taken.
   */
  async append(
    step: string,
    options: {
      readonly position: number;
      readonly results: ReadonlyArray<SampleResult>;
    },
  ): Promise<PlatformOutcome<AppendResult>> {
    const puts: RowTransaction["puts"][number][] = [];
    const conditions: RowTransaction["conditions"][number][] = [];
    let bytes = 0;
    for (const result of options.results) {
      const position = options.position + conditions.length;
      const rows = this.#toRows(step, { position, result });
      bytes += rows.reduce((sum, { value }) => sum + value.length, 0);
      const entries = conditions.length + puts.length + rows.length + 1;
      const exceedsLimits = bytes > MAXIMUM_TRANSACTION_BYTES ||
        entries > MAXIMUM_TRANSACTION_ENTRIES;
      if (conditions.length > 0 && exceedsLimits) break;
      puts.push(...rows);
      const place = { table: STEP_TABLE.results, partition: step };
      conditions.push({ ...place, key: toKey(position, 0), version: 0 });
    }
    const outcome = await this.#table.commit({ conditions, puts });
    if (outcome.kind !== "ok") return outcome;
    return outcome.value.kind === "committed"
      ? { kind: "ok", value: { kind: "appended", count: conditions.length } }
      : { kind: "ok", value: { kind: "conflict" } };
  }

  #toRows(
    step: string,
    item: { readonly position: number; readonly result: SampleResult },
  ): RowTransaction["puts"] {
    const bytes = Buffer.from(JSON.stringify(item.result));
    const count = Math.max(1, Math.ceil(bytes.length / this.#pieceBytes));
    return Array.from({ length: count }, (_unused, index) => {
      const start = index * this.#pieceBytes;
      const piece = bytes.subarray(start, start + this.#pieceBytes);
      const head = index === 0 ? Buffer.from([count]) : Buffer.alloc(0);
      return {
        table: STEP_TABLE.results,
        partition: step,
        key: toKey(item.position, index),
        value: Buffer.concat([head, piece]),
      };
    });
  }
}

function toKey(position: number, piece: number): string {
  const digits = String(position).padStart(POSITION_DIGITS, "0");
  return `${digits}.${String(piece).padStart(3, "0")}`;
}

function groupPieces(
  rows: ReadonlyArray<StoredRow>,
): ReadonlyArray<ReadonlyArray<Buffer>> {
  const groups: Buffer[][] = [];
  for (const { key, value } of rows) {
    if (key.endsWith(".000")) groups.push([value]);
    else groups.at(-1)?.push(value);
  }
  return groups;
}

// Joins the pieces of a result. The first byte of the first piece is the number of pieces.
function joinPieces(pieces: ReadonlyArray<Buffer>): SampleResult | undefined {
  const [first, ...rest] = pieces;
  if (first === undefined || first[0] !== pieces.length) return undefined;
  const bytes = Buffer.concat([first.subarray(1), ...rest]);
  try {
    const json = JSON.parse(bytes.toString()) as SampleResult | null;
    return typeof json?.identifier === "string" ? json : undefined;
  } catch {
    // Rows that this program did not write hold no result.
    return undefined;
  }
}
