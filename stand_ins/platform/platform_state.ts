import type { ServerOrder, Tier } from "../../source/platform/orders_client.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { InstanceList } from "./instance_list.ts";
import { ObjectStore } from "./object_store.ts";
import { OrderBook, type StartedServer } from "./order_book.ts";
import { TableStore } from "./table_store.ts";
import { UsageReportBook } from "./usage_report_book.ts";
import { WeightStore } from "./weight_store.ts";

/** How the platform behaves. */
export interface PlatformStateOptions {
  readonly clock?: Clock;
  /** How far the list of instances is behind; 1000 when absent. */
  readonly listLagMilliseconds?: number;
  /** Whether orders with an old fencing number are refused; true when absent. */
  readonly checksFencing?: boolean;
  readonly startDelayMilliseconds?: number;
  /** Starts a backend server for an order. */
  readonly startServer?: (order: ServerOrder) => Promise<StartedServer>;
  readonly microsPerHour?: Readonly<Record<Tier, number>>;
  readonly capacity?: (failureDomain: string, tier: Tier) => number;
  readonly weightBytes?: number;
  /** Shared by all downloads of weights; 0 for no limit. */
  readonly weightBytesPerSecond?: number;
}

/** All that a stand-in of the platform holds. */
export interface PlatformState {
  readonly clock: Clock;
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly orders: OrderBook;
  readonly usageReports: UsageReportBook;
  readonly instances: InstanceList;
  readonly weights: WeightStore;
}

const DEFAULT_LIST_LAG_MILLISECONDS = 1000;
const DEFAULT_MICROS_PER_HOUR = { steady: 1_000_000, cheap: 300_000 } as const;
const DEFAULT_WEIGHT_BYTES = 1_000_000;

/**
 * Creates an empty platform.
 * @param options - How it behaves.
 * @example
 * ```ts
 * const state = createPlatformState({ listLagMilliseconds: 0 });
 * state.table.get("leases", "usage"); // undefined
 * ```
 */
export function createPlatformState(
  options: PlatformStateOptions = {},
): PlatformState {
  const clock = options.clock ?? new SystemClock();
  const instances = new InstanceList({
    clock,
    lagMilliseconds: options.listLagMilliseconds ??
      DEFAULT_LIST_LAG_MILLISECONDS,
  });
  const orders = new OrderBook({
    clock,
    instances,
    checksFencing: options.checksFencing ?? true,
    startDelayMilliseconds: options.startDelayMilliseconds ?? 0,
    microsPerHour: options.microsPerHour ?? DEFAULT_MICROS_PER_HOUR,
    ...(options.startServer && { startServer: options.startServer }),
    ...(options.capacity && { capacity: options.capacity }),
  });
  const weights = new WeightStore({
    clock,
    versionBytes: options.weightBytes ?? DEFAULT_WEIGHT_BYTES,
    bytesPerSecond: options.weightBytesPerSecond ?? 0,
  });
  return {
    clock,
    table: new TableStore(),
    objects: new ObjectStore(),
    orders,
    usageReports: new UsageReportBook(),
    instances,
    weights,
  };
}
