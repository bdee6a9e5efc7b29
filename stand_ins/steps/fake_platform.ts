import type {
  PlatformFailure,
  PlatformOutcome,
} from "../../source/platform/platform_outcome.ts";
import type { Platform } from "../../source/platform/platform.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import { ObjectStore } from "../platform/object_store.ts";
import { TableStore } from "../platform/table_store.ts";

/** What is wrong with the platform as one node sees it. */
export type PlatformFault =
  | "none"
  | "down"
  /** Answers of transactions are lost after they took effect. */
  | "loseCommits"
  /** The same, and nothing is answered from then on. */
  | "downAfterCommit"
  | "slow";

const CALL_MILLISECONDS = 2;
const SLOW_CALL_MILLISECONDS = 3000;
const NOT_RUN: PlatformFailure = { kind: "notRun", reason: "refused" };
const UNKNOWN: PlatformFailure = { kind: "unknown", reason: "answer lost" };

/** Agreed state that all fake platforms of a group share. */
export interface SharedPlatformState {
  readonly table: TableStore;
  readonly objects: ObjectStore;
}

/**
 * The platform as one node sees it, in memory, on a clock moved by hand.
 * @example
 * ```ts
 * const platform = new FakePlatform(clock, { table: new TableStore(), objects: new ObjectStore() });
 * platform.tableFault = "down";
 * ```
 */
export class FakePlatform implements Platform {
  /** What is wrong with the table. */
  tableFault: PlatformFault = "none";
  /** What is wrong with the object store. */
  objectFault: PlatformFault = "none";
  /** Whether the process that calls has ended: nothing takes effect any more. */
  isCallerDead = false;
  readonly table: Platform["table"];
  readonly objects: Platform["objects"];
  readonly orders: Platform["orders"];
  readonly usageReports: Platform["usageReports"];
  readonly instances: Platform["instances"];
  readonly #clock: Clock;

  /**
   * @param clock - Measures the time of calls.
   * @param state - State shared with other nodes.
   */
  constructor(clock: Clock, state: SharedPlatformState) {
    this.#clock = clock;
    this.table = {
      get: (table, key) => this.#onTable(() => state.table.get(table, key)),
      list: (table, range) =>
        this.#onTable(() => state.table.list(table, range)),
      commit: (transaction) =>
        this.#commit(() => state.table.commit(transaction)),
    };
    this.objects = {
      put: (key, body) => this.#onObjects(() => state.objects.put(key, body)),
      get: (key) => this.#onObjects(() => state.objects.get(key)),
      list: (prefix) => this.#onObjects(() => state.objects.list(prefix)),
      delete: (key) => this.#onObjects(() => state.objects.delete(key)),
    };
    const refuse = (): Promise<PlatformFailure> => Promise.resolve(NOT_RUN);
    this.orders = { place: refuse };
    this.usageReports = { report: refuse };
    this.instances = { list: refuse, register: refuse };
  }

  #onTable<Value>(effect: () => Value): Promise<PlatformOutcome<Value>> {
    return this.#call(this.tableFault, effect);
  }

  async #commit<Value>(effect: () => Value): Promise<PlatformOutcome<Value>> {
    const outcome = await this.#onTable(effect);
    if (this.tableFault === "loseCommits") return UNKNOWN;
    if (this.tableFault !== "downAfterCommit") return outcome;
    this.tableFault = "down";
    return UNKNOWN;
  }

  #onObjects<Value>(effect: () => Value): Promise<PlatformOutcome<Value>> {
    return this.#call(this.objectFault, effect);
  }

  async #call<Value>(
    fault: PlatformFault,
    effect: () => Value,
  ): Promise<PlatformOutcome<Value>> {
    await this.#clock.sleep(CALL_MILLISECONDS);
    if (fault === "down" || this.isCallerDead) return NOT_RUN;
    const value = effect();
    if (fault === "slow") await this.#clock.sleep(SLOW_CALL_MILLISECONDS);
    await this.#clock.sleep(CALL_MILLISECONDS);
    return { kind: "ok", value };
  }
}
