import type { ObjectStoreClient } from "../../source/platform/object_store_client.ts";
import type { Platform } from "../../source/platform/platform.ts";
import type { PlatformOutcome } from "../../source/platform/platform_outcome.ts";
import type { TableClient } from "../../source/platform/table_client.ts";
import { ObjectStore } from "../platform/object_store.ts";
import { TableStore } from "../platform/table_store.ts";

/** Faults that the in-memory platform can simulate, for one call or for all. */
export type PlatformFault =
  | "none"
  /** The call has no effect and returns `notRun`. */
  | "down"
  /** The call takes effect and returns `unknown`. */
  | "loseAnswer"
  /** The call has no effect and never returns. */
  | "hang"
  /** The call takes effect and returns only when `releaseLateCalls` is called. */
  | "late";

/** State that several in-memory platforms can share while each simulates its own faults. */
export interface MemoryPlatformState {
  readonly rows: TableStore;
  readonly objects: ObjectStore;
}

/** An in-memory platform with a table and an object store that can simulate faults. */
export class MemoryPlatform implements Platform {
  /** Fault of each call while `nextFaults` is empty. */
  fault: PlatformFault = "none";
  /** Faults of the next calls in order; they take precedence over `fault`. */
  readonly nextFaults: PlatformFault[] = [];
  /** Rows and objects, which other in-memory platforms may share. */
  readonly state: MemoryPlatformState;
  /** Number of calls received so far. */
  calls = 0;
  readonly table: TableClient;
  readonly objects: ObjectStoreClient;
  readonly #lateCalls: Array<() => void> = [];

  /** @param state - State shared with other in-memory platforms; a new empty state by default. */
  constructor(
    state: MemoryPlatformState = {
      rows: new TableStore(),
      objects: new ObjectStore(),
    },
  ) {
    const { rows, objects } = state;
    this.state = state;
    this.table = {
      get: (table, key) => this.#call(() => rows.get(table, key)),
      list: (table, range) => this.#call(() => rows.list(table, range)),
      commit: (transaction) => this.#call(() => rows.commit(transaction)),
    };
    this.objects = {
      put: (key, body) => this.#call(() => objects.put(key, body)),
      get: (key) => this.#call(() => objects.get(key)),
      list: (prefix) => this.#call(() => objects.list(prefix)),
      delete: (key) => this.#call(() => objects.delete(key)),
    };
  }

  get orders(): never {
    throw new Error("The in-memory platform does not support orders");
  }

  get usageReports(): never {
    throw new Error("The in-memory platform does not support usage reports");
  }

  get instances(): never {
    throw new Error(
      "The in-memory platform does not support the list of instances",
    );
  }

  /** Lets all pending late calls take effect and return. */
  releaseLateCalls(): void {
    for (const release of this.#lateCalls.splice(0)) release();
  }

  async #call<Value>(effect: () => Value): Promise<PlatformOutcome<Value>> {
    this.calls += 1;
    await Promise.resolve();
    const fault = this.nextFaults.shift() ?? this.fault;
    if (fault === "down") return { kind: "notRun", reason: "down" };
    if (fault === "hang") return new Promise(() => {});
    if (fault === "late") {
      await new Promise<void>((resolve) => this.#lateCalls.push(resolve));
    }
    const value = effect();
    if (fault === "loseAnswer") return { kind: "unknown", reason: "lost" };
    return { kind: "ok", value };
  }
}
