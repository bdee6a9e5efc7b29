import type { ObjectStoreClient } from "../../source/platform/object_store_client.ts";
import type { Platform } from "../../source/platform/platform.ts";
import type { PlatformOutcome } from "../../source/platform/platform_outcome.ts";
import type { TableClient } from "../../source/platform/table_client.ts";
import { ObjectStore } from "../platform/object_store.ts";
import { TableStore } from "../platform/table_store.ts";

/** How the platform in memory answers. */
export type PlatformFault =
  | "none"
  | "down"
  | "loseAnswer"
  /** No effect and no answer, ever. */
  | "hang"
  /** Effect and answer come only once they are released. */
  | "late";

/** Agreed state that several platforms in memory may share, each with faults of its own. */
export interface MemoryPlatformState {
  readonly rows: TableStore;
  readonly stored: ObjectStore;
}

/** A platform in the test's own memory, with faults; orders, reports and the list are not there. */
export class MemoryPlatform implements Platform {
  /** The fault of every call from now on. */
  fault: PlatformFault = "none";
  /** Faults of the next calls, in their order, before the lasting one counts. */
  readonly nextFaults: PlatformFault[] = [];
  /** The rows and objects. */
  readonly state: MemoryPlatformState;
  /** Number of calls so far. */
  calls = 0;
  readonly table: TableClient;
  readonly objects: ObjectStoreClient;
  readonly #late: Array<() => void> = [];

  /** @param state - State shared with other nodes; new when absent. */
  constructor(
    state: MemoryPlatformState = {
      rows: new TableStore(),
      stored: new ObjectStore(),
    },
  ) {
    const { rows, stored } = state;
    this.state = state;
    this.table = {
      get: (table, key) => this.#call(() => rows.get(table, key)),
      list: (table, range) => this.#call(() => rows.list(table, range)),
      commit: (transaction) => this.#call(() => rows.commit(transaction)),
    };
    this.objects = {
      put: (key, body) => this.#call(() => stored.put(key, body)),
      get: (key) => this.#call(() => stored.get(key)),
      list: (prefix) => this.#call(() => stored.list(prefix)),
      delete: (key) => this.#call(() => stored.delete(key)),
    };
  }

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
}
