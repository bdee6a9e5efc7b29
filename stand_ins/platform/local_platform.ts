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

/** The platform interface that a call uses. */
export type PlatformArea =
  | "table"
  | "objects"
  | "orders"
  | "usageReports"
  | "instances";

/** How the platform handles one call. */
export interface CallBehaviour {
  /**
   * `refused`: the request is not sent. `dropped`: the request is lost, so it has no effect and
   * no response. `answerLost`: the request takes effect, but its response is lost. `late`: the
   * request takes effect after its delay without a response, even if the caller has timed out.
   */
  readonly kind: "answered" | "refused" | "dropped" | "answerLost" | "late";
  /** Time to connect, after which the caller's send guard is checked. */
  readonly connectDelayMilliseconds?: number;
  /** Time until the request takes effect. */
  readonly requestDelayMilliseconds: number;
  /** Time until the response arrives or the caller times out. */
  readonly responseDelayMilliseconds: number;
}

/** Options of a platform client that calls a platform in the same process. */
export interface LocalPlatformOptions {
  readonly state: PlatformState;
  /** The clock that network delays follow, not the clock of the calling node. */
  readonly clock: Clock;
  /** Decides how a call is handled; `writtenTable` is the table of a commit's last write, or "". */
  readonly chooseBehaviour: (
    area: PlatformArea,
    writtenTable: string,
  ) => CallBehaviour;
  /** Waits while the calling node is stopped; called after connecting and before each response. */
  readonly waitWhileStopped: () => Promise<void>;
}

/**
 * Platform client that calls a platform in the same process, for tests with a manual clock.
 * @example
 * ```ts
 * const platform = new LocalPlatform({
 *   state: createPlatformState({ clock }),
 *   clock,
 *   chooseBehaviour: () => FAST_RESPONSE,
 *   waitWhileStopped: async () => {},
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

  /** @param options - State of the platform, clock of the network, and handling of each call. */
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
          () => state.usageReports.record(report, state.clock.wall()),
          { ...(guard && { guard }) },
        ),
    };
    this.instances = {
      list: () => this.#call("instances", () => state.instances.visible()),
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
    const {
      clock,
      chooseBehaviour,
      waitWhileStopped,
    } = this.#options;
    const behaviour = chooseBehaviour(area, options.writtenTable ?? "");
    if (behaviour.connectDelayMilliseconds !== undefined) {
      await clock.sleep(behaviour.connectDelayMilliseconds);
      await waitWhileStopped();
    }
    if (options.guard?.() === false) {
      return { kind: "notRun", reason: "The send guard refused the request" };
    }
    if (behaviour.kind === "refused") {
      return { kind: "notRun", reason: "refused" };
    }
    const value = await this.#send(behaviour, effect);
    await clock.sleep(behaviour.responseDelayMilliseconds);
    await waitWhileStopped();
    return behaviour.kind === "answered"
      ? { kind: "ok", value: value as Value }
      : { kind: "unknown", reason: behaviour.kind };
  }

  async #send<Value>(
    behaviour: CallBehaviour,
    effect: () => Value | Promise<Value>,
  ): Promise<Value | undefined> {
    const arrived = this.#options.clock.sleep(
      behaviour.requestDelayMilliseconds,
    );
    if (behaviour.kind === "late") {
      void arrived.then(effect);
      return undefined;
    }
    await arrived;
    return behaviour.kind === "dropped" ? undefined : await effect();
  }
}

/** Behaviour of a call that is answered, with a delay of 1 ms in each direction. */
export const FAST_RESPONSE: CallBehaviour = {
  kind: "answered",
  requestDelayMilliseconds: 1,
  responseDelayMilliseconds: 1,
};
