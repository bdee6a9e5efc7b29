import type {
  Row,
  RowRange,
  Transaction,
  TransactionResult,
} from "../../source/platform/table_client.ts";

const MAXIMUM_ROWS_LISTED = 10_000;

/** Transactional table in memory; versions never repeat, also over deletion. */
export class TableStore {
  readonly #tables = new Map<string, Map<string, Row>>();
  #lastVersion = 0;

  /** Returns a row; undefined when it is absent. */
  get(table: string, key: string): Row | undefined {
    return this.#tables.get(table)?.get(key);
  }

  /** Lists rows in the order of their keys. */
  list(table: string, range: RowRange): ReadonlyArray<Row> {
    const rows = [...(this.#tables.get(table)?.values() ?? [])];
    return rows
      .filter((row) => row.key.startsWith(range.prefix))
      .filter((row) => range.after === undefined || row.key > range.after)
      .sort((left, right) => (left.key < right.key ? -1 : 1))
      .slice(0, range.maximum ?? MAXIMUM_ROWS_LISTED);
  }

  /** Commits a transaction, or tells the condition that did not hold. */
  commit(transaction: Transaction): TransactionResult {
    const broken = transaction.conditions.find((condition) =>
      (this.get(condition.table, condition.key)?.version ?? 0) !==
        condition.version
    );
    if (broken !== undefined) {
      return { kind: "conflict", table: broken.table, key: broken.key };
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
