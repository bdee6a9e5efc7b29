import type { InstanceListClient } from "../../source/platform/instance_list_client.ts";
import type { ObjectStoreClient } from "../../source/platform/object_store_client.ts";
import type { OrdersClient } from "../../source/platform/orders_client.ts";
import type { Platform } from "../../source/platform/platform.ts";
import type { PlatformOutcome } from "../../source/platform/platform_outcome.ts";
import type { SendGuard } from "../../source/platform/send_guard.ts";
import type { TableClient } from "../../source/platform/table_client.ts";
import type { UsageReportClient } from "../../source/platform/usage_report_client.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import type { PlatformState } from "./platform_state.ts";

/** Interface of the platform that a call goes to. */
export type PlatformArea =
  | "table"
  | "objects"
  | "orders"
  | "usageReports"
  | "instances";

/** What becomes of one call. */
export interface CallFate {
  /** `refused`: no byte left. `dropped`: no effect and no answer. `answerLost`: effect without answer. */
  readonly kind: "answered" | "refused" | "dropped" | "answerLost";
  /** Time until the call takes effect. */
  readonly sendMilliseconds: number;
  /** Time until the answer is there, or until the caller gives up. */
  readonly answerMilliseconds: number;
}

/** How one node's calls reach a platform in the same process. */
export interface LocalPlatformOptions {
  readonly state: PlatformState;
  /** The clock of the network, not of the calling node. */
  readonly clock: Clock;
  /** Decides the fate of each call. */
  readonly decideFate: (area: PlatformArea) => CallFate;
  /** Holds answers back while the calling node is stopped. */
  readonly whileStopped: () => Promise<void>;
}

/**
 * Platform in the same process, for tests on a hand-moved clock.
 * @example
 * ```ts
 * const platform = new LocalPlatform({
 *   state: createPlatformState({ clock }),
 *   clock,
 *   decideFate: () => PROMPT_ANSWER,
 *   whileStopped: async () => {},
 * });
 * ```
 */
export class LocalPlatform implements Platform {
  readonly #options: LocalPlatformOptions;
  readonly table: TableClient;
  readonly objects: ObjectStoreClient;
  readonly orders: OrdersClient;
  readonly usageReports: UsageReportClient;
  readonly instances: InstanceListClient;

  /** @param options - State, clock and fates. */
  constructor(options: LocalPlatformOptions) {
    this.#options = options;
    const { state } = options;
    this.table = {
      get: (table, key) =>
        this.#call("table", () => state.table.get(table, key)),
      list: (table, range) =>
        this.#call("table", () => state.table.list(table, range)),
      commit: (transaction) =>
        this.#call("table", () => state.table.commit(transaction)),
    };
    this.objects = {
      put: (key, body) =>
        this.#call("objects", () => state.objects.put(key, body)),
      get: (key) => this.#call("objects", () => state.objects.get(key)),
      list: (prefix) => this.#call("objects", () => state.objects.list(prefix)),
      delete: (key) => this.#call("objects", () => state.objects.delete(key)),
    };
    this.orders = {
      place: (order, guard) =>
        this.#call("orders", () => state.orders.place(order), guard),
    };
    this.usageReports = {
      report: (report, guard) =>
        this.#call(
          "usageReports",
          () => state.usageReports.take(report, state.clock.wall()),
          guard,
        ),
    };
    this.instances = {
      list: () => this.#call("instances", () => state.instances.shown()),
      register: (instance) =>
        this.#call(
          "instances",
          () => state.instances.register(instance, false),
        ),
    };
  }

  async #call<Value>(
    area: PlatformArea,
    effect: () => Value | Promise<Value>,
    guard: SendGuard = () => true,
  ): Promise<PlatformOutcome<Value>> {
    const { clock, decideFate, whileStopped } = this.#options;
    if (!guard()) return { kind: "notRun", reason: "May no longer be sent" };
    const fate = decideFate(area);
    if (fate.kind === "refused") return { kind: "notRun", reason: "refused" };
    await clock.sleep(fate.sendMilliseconds);
    const value = fate.kind === "dropped" ? undefined : await effect();
    await clock.sleep(fate.answerMilliseconds);
    await whileStopped();
    return fate.kind === "answered"
      ? { kind: "ok", value: value as Value }
      : { kind: "unknown", reason: fate.kind };
  }
}

/** Fate of a call that is answered within a millisecond. */
export const PROMPT_ANSWER: CallFate = {
  kind: "answered",
  sendMilliseconds: 1,
  answerMilliseconds: 1,
};
