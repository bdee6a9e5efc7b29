import type { DurableTable, RowLocation } from "./durable_table.ts";

/** Maximum number of rows deleted in one transaction. */
const MAXIMUM_TRANSACTION_ROWS = 90;

/** A range of rows in one partition. */
export interface RowRange {
  readonly table: string;
  readonly partition: string;
  /** First key of the range; the first one of the partition when absent. */
  readonly from?: string;
  /** First key after the range; no limit when absent. */
  readonly to?: string;
}

/**
 * Deletes all rows of a range, in several transactions if needed.
 * @returns Whether all were deleted; false as soon as the store does not answer.
 */
export async function deleteRange(
  store: DurableTable,
  { table, ...window }: RowRange,
): Promise<boolean> {
  for (;;) {
    const outcome = await store.read(table, {
      ...window,
      maximum: MAXIMUM_TRANSACTION_ROWS,
    });
    if (outcome.kind !== "ok") return false;
    if (outcome.value.rows.length === 0) return true;
    if (!await deleteRows(store, outcome.value.rows)) return false;
  }
}

/**
 * Deletes rows of one partition in one transaction.
 * @returns Whether the store confirmed it.
 */
export async function deleteRows(
  store: DurableTable,
  places: ReadonlyArray<RowLocation>,
): Promise<boolean> {
  const outcome = await store.commit({
    conditions: [],
    puts: [],
    deletes: places,
  });
  return outcome.kind === "ok";
}
