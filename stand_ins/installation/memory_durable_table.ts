import type {
  CommitResult,
  DurableTable,
  RowChange,
  RowPage,
  RowPlace,
  RowTransaction,
  RowWindow,
  StoredRow,
  TableChanges,
} from "../../source/platform/durable_table.ts";
import type { PlatformOutcome } from "../../source/platform/platform_outcome.ts";

const MAXIMUM_ROWS = 500;
const MAXIMUM_ENTRIES = 100;

/** What happens to the next call of a kind. */
export type TableFault =
  /** Nothing is done. */
  | "refused"
  /** It is done, and its answer is lost. */
  | "answerLost"
  /** Its answer is lost, and it is done when the test says so. */
  | "late";

/** The store's rows in memory, with faults that a test orders. */
export class MemoryDurableTable implements DurableTable {
  readonly #rows = new Map<string, StoredRow>();
  readonly #changes: RowChange[] = [];
  readonly #late: RowTransaction[] = [];
  readonly #waiting = new Set<() => void>();
  #version = 1;
  #forgottenUntil = 0;
  /** Faults of the next commits, the first one first. */
  readonly commitFaults: TableFault[] = [];
  /** Whether every call is refused. */
  isDown = false;
  /** Commits so far, refused ones included. */
  commits = 0;

  /** Reads rows of a partition as of one moment. */
  read(table: string, window: RowWindow): Promise<PlatformOutcome<RowPage>> {
    if (this.isDown) return Promise.resolve(REFUSED);
    const { partition, from = "", to, maximum = MAXIMUM_ROWS } = window;
    const all = [...this.#rows.values()].filter((row) =>
      row.table === table && row.partition === partition && row.key >= from &&
      (to === undefined || row.key < to)
    ).sort((left, right) => left.key < right.key ? -1 : 1);
    const rows = all.slice(0, Math.min(maximum, MAXIMUM_ROWS));
    const hasMore = rows.length < all.length;
    return toOk({ rows, hasMore, version: this.#version });
  }

  /** Waits for changes of a table after a version. */
  async follow(
    table: string,
    options: { readonly after: number; readonly waitMilliseconds: number },
  ): Promise<PlatformOutcome<TableChanges>> {
    if (this.isDown) return REFUSED;
    if (options.after < this.#forgottenUntil) return toOk({ kind: "expired" });
    const find = (): ReadonlyArray<RowChange> =>
      this.#changes.filter((change) =>
        change.table === table && change.version > options.after
      );
    if (find().length === 0) await this.#wait(options.waitMilliseconds);
    if (this.isDown) return REFUSED;
    return toOk({ kind: "changes", changes: find(), version: this.#version });
  }

  /** Applies a transaction, unless a fault was ordered. */
  commit(transaction: RowTransaction): Promise<PlatformOutcome<CommitResult>> {
    this.commits += 1;
    if (this.isDown) return Promise.resolve(REFUSED);
    const fault = this.commitFaults.shift();
    if (fault === "refused") return Promise.resolve(REFUSED);
    if (fault === "late") {
      this.#late.push(transaction);
      return Promise.resolve(LOST);
    }
    const result = this.#apply(transaction);
    return fault === "answerLost" ? Promise.resolve(LOST) : result;
  }

  /** Applies the transactions that are late, if their conditions hold by now. */
  applyLate(): void {
    for (const transaction of this.#late.splice(0)) {
      void this.#apply(transaction);
    }
  }

  /** Forgets what changed so far. */
  forgetHistory(): void {
    this.#forgottenUntil = this.#version;
    this.#changes.length = 0;
  }

  #apply(
    transaction: RowTransaction,
  ): Promise<PlatformOutcome<CommitResult>> {
    const { conditions, puts, deletes = [] } = transaction;
    if (conditions.length + puts.length + deletes.length > MAXIMUM_ENTRIES) {
      return Promise.resolve({ kind: "unknown", reason: "Too many entries" });
    }
    const isMet = conditions.every((condition) =>
      (this.#rows.get(toName(condition))?.version ?? 0) === condition.version
    );
    if (!isMet) {
      const rows = conditions.flatMap((condition) =>
        this.#rows.get(toName(condition)) ?? []
      );
      return toOk({ kind: "conflict", rows });
    }
    this.#version += 1;
    const version = this.#version;
    for (const put of puts) {
      const row = { ...put, version };
      this.#rows.set(toName(put), row);
      this.#changes.push({ ...row, isDeleted: false });
    }
    for (const place of deletes) {
      this.#rows.delete(toName(place));
      const value = Buffer.alloc(0);
      this.#changes.push({ ...place, value, version, isDeleted: true });
    }
    for (const wake of this.#waiting) wake();
    return toOk({ kind: "committed", version });
  }

  #wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        this.#waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, milliseconds);
      this.#waiting.add(done);
    });
  }
}

const REFUSED = { kind: "notRun", reason: "The store is down" } as const;
const LOST = { kind: "unknown", reason: "The answer was lost" } as const;

function toOk<Value>(value: Value): Promise<PlatformOutcome<Value>> {
  return Promise.resolve({ kind: "ok", value });
}

function toName({ table, partition, key }: RowPlace): string {
  return [table, partition, key].join("\u0000");
}
