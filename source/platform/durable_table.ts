import type { PlatformOutcome } from "./platform_outcome.ts";

/** Location of a row. Rows of one partition can be written in one transaction. */
export interface RowLocation {
  readonly table: string;
  /** May be empty. */
  readonly partition: string;
  readonly key: string;
}

/** A row as it was at one version of the store. */
export interface StoredRow extends RowLocation {
  readonly value: Buffer;
  /** Version of the transaction that wrote the row; increases across the whole store. */
  readonly version: number;
}

/** Which rows of a partition to read, in ascending order of their keys. */
export interface RowQuery {
  readonly partition: string;
  /** First key of the range; the first one of the partition when absent. */
  readonly from?: string;
  /** First key after the range; no limit when absent. */
  readonly to?: string;
  /** At most this many rows. */
  readonly maximum?: number;
}

/** Rows read at one version of the store. */
export interface RowPage {
  readonly rows: ReadonlyArray<StoredRow>;
  /** Whether the range has more rows than were returned. */
  readonly hasMore: boolean;
  /** Newest version of the store at the time of the read. */
  readonly version: number;
}

/** A change of one row. */
export interface RowChange extends StoredRow {
  readonly isDeleted: boolean;
}

/** What changed in a table after a version. */
export type TableChanges =
  | {
    readonly kind: "changes";
    readonly changes: ReadonlyArray<RowChange>;
    /** Version after which the next call continues. */
    readonly version: number;
  }
  /** The store no longer knows what changed after that version. */
  | { readonly kind: "expired" };

/** Writes that are applied atomically, and only if all conditions hold. */
export interface RowTransaction {
  /** The version each row must have; 0 when it must be absent. */
  readonly conditions: ReadonlyArray<
    RowLocation & { readonly version: number }
  >;
  readonly puts: ReadonlyArray<RowLocation & { readonly value: Buffer }>;
  readonly deletes?: ReadonlyArray<RowLocation>;
}

/** Result of a transaction. */
export type CommitResult =
  | { readonly kind: "committed"; readonly version: number }
  /** A condition did not hold; `rows` are the current rows that the conditions name. */
  | { readonly kind: "conflict"; readonly rows: ReadonlyArray<StoredRow> };

/** Linearizable store of rows that holds all durable state. */
export interface DurableTable {
  /** Reads rows of a partition at one version of the store. */
  read(table: string, query: RowQuery): Promise<PlatformOutcome<RowPage>>;
  /** Waits up to `waitMilliseconds` for changes of a table after a version. */
  follow(
    table: string,
    options: { readonly after: number; readonly waitMilliseconds: number },
  ): Promise<PlatformOutcome<TableChanges>>;
  /** Applies a transaction; after `unknown`, it may still be applied while its conditions hold. */
  commit(transaction: RowTransaction): Promise<PlatformOutcome<CommitResult>>;
}
