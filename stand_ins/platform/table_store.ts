import type {
  Row,
  RowRange,
  Transaction,
  TransactionResult,
} from "../../source/platform/table_client.ts";

const MAXIMUM_ROWS_LISTED = 10_000;

/** In-memory transactional tables; a row version is never reused, even after a deletion. */
export class TableStore {
  readonly #tables = new Map<string, Map<string, Row>>();
  #lastVersion = 0;

  /** Returns a row, or undefined if it does not exist. */
  get(table: string, key: string): Row | undefined {
    return this.#tables.get(table)?.get(key);
  }

  /** Lists the rows of a range in key order, at most 10,000 if the range has no maximum. */
  list(table: string, range: RowRange): ReadonlyArray<Row> {
    const rows = [...(this.#tables.get(table)?.values() ?? [])];
    return rows
      .filter((row) => row.key.startsWith(range.prefix))
      .filter((row) => range.after === undefined || row.key > range.after)
      .sort((left, right) => (left.key < right.key ? -1 : 1))
      .slice(0, range.maximum ?? MAXIMUM_ROWS_LISTED);
  }

  /** Commits a transaction, or returns the first row whose version condition failed. */
  commit(transaction: Transaction): TransactionResult {
    const failed = transaction.conditions.find((condition) =>
      (this.get(condition.table, condition.key)?.version ?? 0) !==
        condition.version
    );
    if (failed !== undefined) {
      return { kind: "conflict", table: failed.table, key: failed.key };
    }
    const versions = transaction.writes.map((write) =>
      this.#write(write.table, write.key, write.value)
    );
    return { kind: "committed", versions };
  }

  #write(table: string, key: string, value: string | undefined): number {
    const rows = this.#tables.get(table) ?? new Map<string, Row>();
    this.#tables.set(table, rows);
    if (value === undefined) {
      rows.delete(key);
      return 0;
    }
    this.#lastVersion += 1;
    rows.set(key, { key, value, version: this.#lastVersion });
    return this.#lastVersion;
  }
}
