import type { PlatformOutcome } from "./platform_outcome.ts";

/** A row with its version, which increases with each write to the row. */
export interface Row {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** Condition on a row that must hold for a transaction to commit. */
export interface RowCondition {
  readonly table: string;
  readonly key: string;
  /** The version the row must have; 0 when it must be absent. */
  readonly version: number;
}

/** One write of a transaction. */
export interface RowWrite {
  readonly table: string;
  readonly key: string;
  /** The new value; undefined deletes the row. */
  readonly value: string | undefined;
}

/** Writes that are applied atomically, and only if all conditions hold. */
export interface Transaction {
  readonly conditions: ReadonlyArray<RowCondition>;
  readonly writes: ReadonlyArray<RowWrite>;
}

/** Result of a transaction. */
export type TransactionResult =
  | { readonly kind: "committed"; readonly versions: ReadonlyArray<number> }
  | { readonly kind: "conflict"; readonly table: string; readonly key: string };

/** Which rows to list. */
export interface RowRange {
  readonly prefix: string;
  /** Lists only keys greater than this one. */
  readonly after?: string;
  /** At most this many rows. */
  readonly maximum?: number;
}

/** Client of the platform's transactional table service. */
export interface TableClient {
  /** Reads a row; undefined when it is absent. */
  get(
    table: string,
    key: string,
  ): Promise<PlatformOutcome<Row | undefined>>;
  /** Lists rows in key order. */
  list(
    table: string,
    range: RowRange,
  ): Promise<PlatformOutcome<ReadonlyArray<Row>>>;
  /** Commits a transaction, or returns the row whose condition did not hold. */
  commit(transaction: Transaction): Promise<PlatformOutcome<TransactionResult>>;
}
