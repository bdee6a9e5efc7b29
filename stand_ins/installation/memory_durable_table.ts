import type {
  CommitResult,
  DurableTable,
  RowChange,
  RowLocation,
  RowPage,
  RowQuery,
  RowTransaction,
  StoredRow,
  TableChanges,
} from "../../source/platform/durable_table.ts";
import type { PlatformOutcome } from "../../source/platform/platform_outcome.ts";

const MAXIMUM_ROWS = 500;
const MAXIMUM_TRANSACTION_ENTRIES = 100;

/** Fault that applies to a commit. */
export type TableFault =
  /** The commit has no effect, and the caller learns so. */
  | "refused"
  /** The commit takes effect, but its response is lost. */
  | "answerLost"
  /** The response is lost; the commit takes effect when the test calls `applyLateCommits`. */
  | "late";

/** An in-memory durable table that can simulate faults. */
export class MemoryDurableTable implements DurableTable {
  readonly #rows = new Map<string, StoredRow>();
  readonly #changes: RowChange[] = [];
  readonly #lateTransactions: RowTransaction[] = [];
  readonly #followers = new Set<() => void>();
  #version = 1;
  #historyStart = 0;
  /** Faults of the next commits, in order. */
  readonly commitFaults: TableFault[] = [];
  /** Whether the store refuses every call. */
  isDown = false;
  /** Number of commits received, including refused ones. */
  commits = 0;

  /** Reads a consistent page of rows of a partition. */
  read(table: string, query: RowQuery): Promise<PlatformOutcome<RowPage>> {
    if (this.isDown) return Promise.resolve(REFUSED);
    const { partition, from = "", to, maximum = MAXIMUM_ROWS } = query;
    const matchingRows = [...this.#rows.values()].filter((row) =>
      row.table === table && row.partition === partition && row.key >= from &&
      (to === undefined || row.key < to)
    ).sort((left, right) => left.key < right.key ? -1 : 1);
    const rows = matchingRows.slice(0, Math.min(maximum, MAXIMUM_ROWS));
    const hasMore = rows.length < matchingRows.length;
    return createOkOutcome({ rows, hasMore, version: this.#version });
  }

  /** Returns a table's changes after a version; without any, first waits for one. */
  async follow(
    table: string,
    options: { readonly after: number; readonly waitMilliseconds: number },
  ): Promise<PlatformOutcome<TableChanges>> {
    if (this.isDown) return REFUSED;
    if (options.after < this.#historyStart) {
      return createOkOutcome({ kind: "expired" });
    }
    const find = (): ReadonlyArray<RowChange> =>
      this.#changes.filter((change) =>
        change.table === table && change.version > options.after
      );
    const until = performance.now() + options.waitMilliseconds;
    for (
      let remaining = options.waitMilliseconds;
      remaining > 0 && !this.isDown && find().length === 0;
      remaining = until - performance.now()
    ) await this.#wait(remaining);
    if (this.isDown) return REFUSED;
    return createOkOutcome({
      kind: "changes",
      changes: find(),
      version: this.#version,
    });
  }

  /** Applies a transaction, subject to the next fault of `commitFaults`. */
  commit(transaction: RowTransaction): Promise<PlatformOutcome<CommitResult>> {
    this.commits += 1;
    if (this.isDown) return Promise.resolve(REFUSED);
    const fault = this.commitFaults.shift();
    if (fault === "refused") return Promise.resolve(REFUSED);
    if (fault === "late") {
      this.#lateTransactions.push(transaction);
      return Promise.resolve(LOST);
    }
    const result = this.#apply(transaction);
    return fault === "answerLost" ? Promise.resolve(LOST) : result;
  }

  /** Applies the pending late transactions whose conditions still hold. */
  applyLateCommits(): void {
    for (const transaction of this.#lateTransactions.splice(0)) {
      void this.#apply(transaction);
    }
  }

  /** Discards the change history, so that `follow` from an earlier version returns "expired". */
  discardHistory(): void {
    this.#historyStart = this.#version;
    this.#changes.length = 0;
  }

  #apply(
    transaction: RowTransaction,
  ): Promise<PlatformOutcome<CommitResult>> {
    const { conditions, puts, deletes = [] } = transaction;
    if (
      conditions.length + puts.length + deletes.length >
        MAXIMUM_TRANSACTION_ENTRIES
    ) {
      return Promise.resolve({
        kind: "unknown",
        reason: "The transaction has more than 100 entries",
      });
    }
    const areConditionsMet = conditions.every((condition) =>
      (this.#rows.get(formatRowName(condition))?.version ?? 0) ===
        condition.version
    );
    if (!areConditionsMet) {
      const rows = conditions.flatMap((condition) =>
        this.#rows.get(formatRowName(condition)) ?? []
      );
      return createOkOutcome({ kind: "conflict", rows });
    }
    this.#version += 1;
    const version = this.#version;
    for (const put of puts) {
      const row = { ...put, version };
      this.#rows.set(formatRowName(put), row);
      this.#changes.push({ ...row, isDeleted: false });
    }
    for (const location of deletes) {
      this.#rows.delete(formatRowName(location));
      const value = Buffer.alloc(0);
      this.#changes.push({ ...location, value, version, isDeleted: true });
    }
    for (const notifyFollower of this.#followers) notifyFollower();
    return createOkOutcome({ kind: "committed", version });
  }

  #wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const finishWaiting = (): void => {
        clearTimeout(timer);
        this.#followers.delete(finishWaiting);
        resolve();
      };
      const timer = setTimeout(finishWaiting, milliseconds);
      this.#followers.add(finishWaiting);
    });
  }
}

const REFUSED = {
  kind: "notRun",
  reason: "The store refused the call",
} as const;
const LOST = { kind: "unknown", reason: "The response was lost" } as const;

function createOkOutcome<Value>(value: Value): Promise<PlatformOutcome<Value>> {
  return Promise.resolve({ kind: "ok", value });
}

function formatRowName({ table, partition, key }: RowLocation): string {
  return [table, partition, key].join("\u0000");
}
