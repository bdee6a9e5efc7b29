import type {
  PlatformFailure,
  PlatformOutcome,
} from "../../source/platform/platform_outcome.ts";
import type { Platform } from "../../source/platform/platform.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import { ObjectStore } from "../platform/object_store.ts";
import { TableStore } from "../platform/table_store.ts";

/** Faults of the platform for one node. */
export type PlatformFault =
  | "none"
  | "down"
  /** Transactions take effect, but their responses are lost. */
  | "loseCommits"
  /** The next transaction takes effect, its response is lost, and all later calls are refused. */
  | "downAfterCommit"
  /** Calls take effect, and their responses arrive 3 s later than usual. */
  | "slow";

const CALL_MILLISECONDS = 2;
const SLOW_CALL_MILLISECONDS = 3000;
const NOT_RUN: PlatformFailure = { kind: "notRun", reason: "refused" };
const UNKNOWN: PlatformFailure = { kind: "unknown", reason: "answer lost" };

/** State that all fake platforms of a group share. */
export interface SharedPlatformState {
  readonly table: TableStore;
  readonly objects: ObjectStore;
}

/**
 * In-memory platform of one node, whose calls take time on a manual clock.
 * @example
 * ```ts
 * const platform = new FakePlatform(clock, {
 *   table: new TableStore(),
 *   objects: new ObjectStore(),
 * });
 * platform.tableFault = "down";
 * ```
 */
export class FakePlatform implements Platform {
  /** Fault of the table. */
  tableFault: PlatformFault = "none";
  /** Fault of the object store. */
  objectFault: PlatformFault = "none";
  /** Whether the calling process has ended, after which its calls have no effect. */
  isCallerKilled = false;
  readonly table: Platform["table"];
  readonly objects: Platform["objects"];
  readonly orders: Platform["orders"];
  readonly usageReports: Platform["usageReports"];
  readonly instances: Platform["instances"];
  readonly #clock: Clock;

  /**
   * @param clock - Clock on which calls take time.
   * @param state - State shared with other nodes.
   */
  constructor(clock: Clock, state: SharedPlatformState) {
    this.#clock = clock;
    this.table = {
      get: (table, key) => this.#callTable(() => state.table.get(table, key)),
      list: (table, range) =>
        this.#callTable(() => state.table.list(table, range)),
      commit: (transaction) =>
        this.#commit(() => state.table.commit(transaction)),
    };
    this.objects = {
      put: (key, body) => this.#callObjects(() => state.objects.put(key, body)),
      get: (key) => this.#callObjects(() => state.objects.get(key)),
      list: (prefix) => this.#callObjects(() => state.objects.list(prefix)),
      delete: (key) => this.#callObjects(() => state.objects.delete(key)),
    };
    const refuse = (): Promise<PlatformFailure> => Promise.resolve(NOT_RUN);
    this.orders = { place: refuse };
    this.usageReports = { report: refuse };
    this.instances = { list: refuse, register: refuse };
  }

  #callTable<Value>(effect: () => Value): Promise<PlatformOutcome<Value>> {
    return this.#call(this.tableFault, effect);
  }

  async #commit<Value>(effect: () => Value): Promise<PlatformOutcome<Value>> {
    const outcome = await this.#callTable(effect);
    if (this.tableFault === "loseCommits") return UNKNOWN;
    if (this.tableFault !== "downAfterCommit") return outcome;
    this.tableFault = "down";
    return UNKNOWN;
  }

  #callObjects<Value>(effect: () => Value): Promise<PlatformOutcome<Value>> {
    return this.#call(this.objectFault, effect);
  }

  async #call<Value>(
    fault: PlatformFault,
    effect: () => Value,
  ): Promise<PlatformOutcome<Value>> {
    await this.#clock.sleep(CALL_MILLISECONDS);
    if (fault === "down" || this.isCallerKilled) return NOT_RUN;
    const value = effect();
    if (fault === "slow") await this.#clock.sleep(SLOW_CALL_MILLISECONDS);
    await this.#clock.sleep(CALL_MILLISECONDS);
    return { kind: "ok", value };
  }
}
