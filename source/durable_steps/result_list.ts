import type {
  DurableTable,
  RowTransaction,
  StoredRow,
} from "../platform/durable_table.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import type { SampleResult } from "./sample_result.ts";
import { STEP_TABLE } from "./step_manifest.ts";

/** Share of the largest row that a piece of a result takes. */
const PIECE_SHARE = 0.9;
/** Bytes of one transaction's rows, below the store's 1 MB with its base64. */
const TRANSACTION_BYTES = 600_000;
/** A transaction takes 100 entries; each result has a condition and a row or more. */
const TRANSACTION_ENTRIES = 96;
const POSITION_DIGITS = 7;

/** How an append to a step's list ended. */
export type AppendResult =
  | { readonly kind: "appended"; readonly count: number }
  /** Another node has appended; the list must be read on. */
  | { readonly kind: "behind" };

/**
 * The ordered lists of steps' results in the store.
 *
 * A result is written at a position on the condition that the position is free, by a writer that
 * knows all earlier positions. So no result stands twice and no position changes, whichever nodes
 * write and however late a lost write is applied.
 */
export class ResultList {
  readonly #table: DurableTable;
  readonly #pieceBytes: number;

  /**
   * @param table - The store.
   * @param rowBytes - Largest value of a row.
   */
  constructor(table: DurableTable, rowBytes: number) {
    this.#table = table;
    this.#pieceBytes = Math.floor(PIECE_SHARE * rowBytes);
  }

  /** Reads the results from a position on, as many as the store gives at once. */
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
   * Appends results at a position; the writer must know every earlier position.
   * @returns How many were appended: the first ones, as many as fit in a transaction.
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
      const isTooMuch = bytes > TRANSACTION_BYTES ||
        entries > TRANSACTION_ENTRIES;
      if (conditions.length > 0 && isTooMuch) break;
      puts.push(...rows);
      const place = { table: STEP_TABLE.results, partition: step };
      conditions.push({ ...place, key: toKey(position, 0), version: 0 });
    }
    const outcome = await this.#table.commit({ conditions, puts });
    if (outcome.kind !== "ok") return outcome;
    return outcome.value.kind === "committed"
      ? { kind: "ok", value: { kind: "appended", count: conditions.length } }
      : { kind: "ok", value: { kind: "behind" } };
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

// The first piece begins with the number of pieces.
function joinPieces(pieces: ReadonlyArray<Buffer>): SampleResult | undefined {
  const [first, ...rest] = pieces;
  if (first === undefined || first[0] !== pieces.length) return undefined;
  const bytes = Buffer.concat([first.subarray(1), ...rest]);
  return JSON.parse(bytes.toString()) as SampleResult;
}
