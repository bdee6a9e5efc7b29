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
  /**
   * `refused`: no byte left. `dropped`: no effect and no answer. `answerLost`: effect
   * without answer. `late`: the caller gives up before the call takes effect.
   */
  readonly kind: "answered" | "refused" | "dropped" | "answerLost" | "late";
  /** Time until there is a connection; the caller's guard is asked after it. */
  readonly connectMilliseconds?: number;
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
  /** Decides the fate of each call; for a commit, the last table that it writes is named. */
  readonly decideFate: (area: PlatformArea, writtenTable: string) => CallFate;
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
        this.#call("table", () => state.table.commit(transaction), {
          writtenTable: transaction.writes.at(-1)?.table ?? "",
        }),
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
        this.#call("orders", () => state.orders.place(order), {
          ...(guard && { guard }),
        }),
    };
    this.usageReports = {
      report: (report, guard) =>
        this.#call(
          "usageReports",
          () => state.usageReports.take(report, state.clock.wall()),
          { ...(guard && { guard }) },
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
    options: {
      readonly guard?: SendGuard;
      readonly writtenTable?: string;
    } = {},
  ): Promise<PlatformOutcome<Value>> {
    const { clock, decideFate, whileStopped } = this.#options;
    const fate = decideFate(area, options.writtenTable ?? "");
    if (fate.connectMilliseconds !== undefined) {
      await clock.sleep(fate.connectMilliseconds);
      await whileStopped();
    }
    if (options.guard?.() === false) {
      return { kind: "notRun", reason: "May no longer be sent" };
    }
    if (fate.kind === "refused") return { kind: "notRun", reason: "refused" };
    const value = await this.#send(fate, effect);
    await clock.sleep(fate.answerMilliseconds);
    await whileStopped();
    return fate.kind === "answered"
      ? { kind: "ok", value: value as Value }
      : { kind: "unknown", reason: fate.kind };
  }

  async #send<Value>(
    fate: CallFate,
    effect: () => Value | Promise<Value>,
  ): Promise<Value | undefined> {
    const arrived = this.#options.clock.sleep(fate.sendMilliseconds);
    if (fate.kind === "late") {
      void arrived.then(effect);
      return undefined;
    }
    await arrived;
    return fate.kind === "dropped" ? undefined : await effect();
  }
}

/** Fate of a call that is answered within a millisecond. */
export const PROMPT_ANSWER: CallFate = {
  kind: "answered",
  sendMilliseconds: 1,
  answerMilliseconds: 1,
};
