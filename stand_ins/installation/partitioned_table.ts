import type {
  CommitResult,
  DurableTable,
  RowPage,
  RowQuery,
  RowTransaction,
  TableChanges,
} from "../../source/platform/durable_table.ts";
import type { PlatformOutcome } from "../../source/platform/platform_outcome.ts";

/** A node's path to a table, which a test can cut while others use the table. */
export class PartitionedTable implements DurableTable {
  readonly #table: DurableTable;
  /** Whether no call gets through. */
  isCut = false;

  /** @param table - The table behind the path. */
  constructor(table: DurableTable) {
    this.#table = table;
  }

  /** Reads rows through the path. */
  async read(
    table: string,
    query: RowQuery,
  ): Promise<PlatformOutcome<RowPage>> {
    return await this.#pass(() => this.#table.read(table, query));
  }

  /** Follows a table through the path. */
  async follow(
    table: string,
    options: { readonly after: number; readonly waitMilliseconds: number },
  ): Promise<PlatformOutcome<TableChanges>> {
    return await this.#pass(() => this.#table.follow(table, options));
  }

  /** Commits a transaction through the path; one whose response is lost may have taken effect. */
  async commit(
    transaction: RowTransaction,
  ): Promise<PlatformOutcome<CommitResult>> {
    return await this.#pass(() => this.#table.commit(transaction));
  }

  /** Commits a transaction that the store has got already, whether or not the path is cut now. */
  protected async commitPastCut(transaction: RowTransaction): Promise<void> {
    await this.#table.commit(transaction);
  }

  async #pass<Value>(
    call: () => Promise<PlatformOutcome<Value>>,
  ): Promise<PlatformOutcome<Value>> {
    if (this.isCut) return { kind: "notRun", reason: "The path is cut" };
    const outcome = await call();
    return this.isCut
      ? { kind: "unknown", reason: "The path was cut" }
      : outcome;
  }
}
