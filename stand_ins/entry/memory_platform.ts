import type { ObjectStoreClient } from "../../source/platform/object_store_client.ts";
import type { Platform } from "../../source/platform/platform.ts";
import type { PlatformOutcome } from "../../source/platform/platform_outcome.ts";
import type {
  Row,
  TableClient,
  Transaction,
  TransactionResult,
} from "../../source/platform/table_client.ts";

/** How the platform in memory answers. */
export type PlatformFault =
  | "none"
  | "down"
  | "loseAnswer"
  /** No effect and no answer, ever. */
  | "hang"
  /** Effect and answer come only once they are released. */
  | "late";

/** A platform in the test's own memory, with faults; orders, reports and the list are not there. */
export class MemoryPlatform implements Platform {
  /** The fault of every call from now on. */
  fault: PlatformFault = "none";
  /** Faults of the next calls, in their order, before the lasting one counts. */
  readonly nextFaults: PlatformFault[] = [];
  /** Rows by "table/key". */
  readonly rows = new Map<string, Row>();
  /** Objects by key. */
  readonly stored = new Map<string, Uint8Array>();
  /** Number of calls so far. */
  calls = 0;
  readonly #late: Array<() => void> = [];

  readonly table: TableClient = {
    get: (table, key) => this.#call(() => this.rows.get(`${table}/${key}`)),
    list: (table, range) =>
      this.#call(() =>
        [...this.rows.entries()]
          .filter(([path]) => path.startsWith(`${table}/${range.prefix}`))
          .map(([, row]) => row)
          .filter((row) => row.key > (range.after ?? ""))
          .sort((left, right) => left.key < right.key ? -1 : 1)
          .slice(0, range.maximum ?? Infinity)
      ),
    commit: (transaction) => this.#call(() => this.#commit(transaction)),
  };

  readonly objects: ObjectStoreClient = {
    put: (key, body) => this.#call(() => void this.stored.set(key, body)),
    get: (key) => this.#call(() => this.stored.get(key)),
    list: (prefix) =>
      this.#call(() =>
        [...this.stored.keys()].filter((key) => key.startsWith(prefix)).sort()
      ),
    delete: (key) => this.#call(() => void this.stored.delete(key)),
  };

  get orders(): never {
    throw new Error("No orders in this stand-in");
  }

  get usageReports(): never {
    throw new Error("No usage reports in this stand-in");
  }

  get instances(): never {
    throw new Error("No list of instances in this stand-in");
  }

  /** Lets the late calls so far take effect. */
  releaseLate(): void {
    for (const release of this.#late.splice(0)) release();
  }

  async #call<Value>(effect: () => Value): Promise<PlatformOutcome<Value>> {
    this.calls += 1;
    await Promise.resolve();
    const fault = this.nextFaults.shift() ?? this.fault;
    if (fault === "down") return { kind: "notRun", reason: "down" };
    if (fault === "hang") return new Promise(() => {});
    if (fault === "late") {
      await new Promise<void>((resolve) => this.#late.push(resolve));
    }
    const value = effect();
    if (fault === "loseAnswer") return { kind: "unknown", reason: "lost" };
    return { kind: "ok", value };
  }

  #commit(transaction: Transaction): TransactionResult {
    for (const { table, key, version } of transaction.conditions) {
      const found = this.rows.get(`${table}/${key}`)?.version ?? 0;
      if (found !== version) return { kind: "conflict", table, key };
    }
    const versions = transaction.writes.map(({ table, key, value }) => {
      const version = nextVersion();
      if (value === undefined) this.rows.delete(`${table}/${key}`);
      else this.rows.set(`${table}/${key}`, { key, value, version });
      return version;
    });
    return { kind: "committed", versions };
  }
}

let newestVersion = 0;

// Several platforms may share their rows, so versions are never used twice.
function nextVersion(): number {
  newestVersion += 1;
  return newestVersion;
}
