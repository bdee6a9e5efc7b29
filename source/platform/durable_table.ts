import type { PlatformOutcome } from "./platform_outcome.ts";

/** Where a row lies. Rows of one partition can be written in one transaction. */
export interface RowPlace {
  readonly table: string;
  /** May be empty. */
  readonly partition: string;
  readonly key: string;
}

/** A row as it was at one version of the store. */
export interface StoredRow extends RowPlace {
  readonly value: Buffer;
  /** Version of the transaction that wrote the row; grows over the whole store. */
  readonly version: number;
}

/** Which rows of a partition are read, in ascending order of their keys. */
export interface RowWindow {
  readonly partition: string;
  /** First key; the partition's first one when absent. */
  readonly from?: string;
  /** The range ends before this key. */
  readonly to?: string;
  /** At most this many rows. */
  readonly maximum?: number;
}

/** Rows as of one moment. */
export interface RowPage {
  readonly rows: ReadonlyArray<StoredRow>;
  /** Whether the range has more rows than were returned. */
  readonly hasMore: boolean;
  /** The store's newest version at that moment. */
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
    /** From where to go on. */
    readonly version: number;
  }
  /** The store no longer knows what changed after that version. */
  | { readonly kind: "expired" };

/** All writes happen together, and only if all conditions hold. */
export interface RowTransaction {
  /** The version each row must have; 0 when it must be absent. */
  readonly conditions: ReadonlyArray<RowPlace & { readonly version: number }>;
  readonly puts: ReadonlyArray<RowPlace & { readonly value: Buffer }>;
  readonly deletes?: ReadonlyArray<RowPlace>;
}

/** Whether a transaction was applied. */
export type CommitResult =
  | { readonly kind: "committed"; readonly version: number }
  /** A condition did not hold; with the rows that the conditions name, as they are. */
  | { readonly kind: "conflict"; readonly rows: ReadonlyArray<StoredRow> };

/** The linearizable store of rows in which everything lies that must last. */
export interface DurableTable {
  /** Reads rows of a partition as of one moment. */
  read(table: string, window: RowWindow): Promise<PlatformOutcome<RowPage>>;
  /** Waits for changes of a table after a version, at most so long. */
  follow(
    table: string,
    options: { readonly after: number; readonly waitMilliseconds: number },
  ): Promise<PlatformOutcome<TableChanges>>;
  /** Applies a transaction. An `unknown` outcome may be applied later, while its conditions hold. */
  commit(transaction: RowTransaction): Promise<PlatformOutcome<CommitResult>>;
}
