import type {
  DurableTable,
  RowLocation,
  StoredRow,
} from "../platform/durable_table.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import type {
  Row,
  TableClient,
  Transaction,
  TransactionResult,
} from "../platform/table_client.ts";

/** Leases have a separate partition so that other writers cannot delay a renewal. */
const PARTITION = "leases";

/** Implements the table interface of lease electors with single rows of a durable table. */
export class LeaseTable implements Pick<TableClient, "get" | "commit"> {
  readonly #table: DurableTable;

  /** @param table - The durable table. */
  constructor(table: DurableTable) {
    this.#table = table;
  }

  /** Reads a row; the value is undefined when the row does not exist. */
  async get(
    table: string,
    key: string,
  ): Promise<PlatformOutcome<Row | undefined>> {
    const outcome = await this.#table.read(table, {
      partition: PARTITION,
      from: key,
      to: `${key}\u0000`,
    });
    if (outcome.kind !== "ok") return outcome;
    const [row] = outcome.value.rows;
    return { kind: "ok", value: row === undefined ? undefined : toRow(row) };
  }

  /**
   * Commits a transaction.
   * @returns On a conflict, the place of the transaction's first condition.
   */
  async commit(
    transaction: Transaction,
  ): Promise<PlatformOutcome<TransactionResult>> {
    const { conditions, writes } = transaction;
    const outcome = await this.#table.commit({
      conditions: conditions.map((condition) => ({
        ...toPlace(condition),
        version: condition.version,
      })),
      puts: writes.flatMap((write) =>
        write.value === undefined
          ? []
          : [{ ...toPlace(write), value: Buffer.from(write.value) }]
      ),
      deletes: writes.filter(({ value }) => value === undefined).map(toPlace),
    });
    if (outcome.kind !== "ok") return outcome;
    if (outcome.value.kind === "committed") {
      const versions = writes.map(() =>
        outcome.value.kind === "committed" ? outcome.value.version : 0
      );
      return { kind: "ok", value: { kind: "committed", versions } };
    }
    const { table = "", key = "" } = conditions[0] ?? {};
    return { kind: "ok", value: { kind: "conflict", table, key } };
  }
}

function toPlace(
  place: { readonly table: string; readonly key: string },
): RowLocation {
  return { table: place.table, partition: PARTITION, key: place.key };
}

function toRow({ key, value, version }: StoredRow): Row {
  return { key, value: value.toString(), version };
}
