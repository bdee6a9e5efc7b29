import type { ServerOrder, Tier } from "../../source/platform/orders_client.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { InstanceList } from "./instance_list.ts";
import { ObjectStore } from "./object_store.ts";
import { OrderProcessor, type StartedServer } from "./order_processor.ts";
import { TableStore } from "./table_store.ts";
import { UsageReportStore } from "./usage_report_store.ts";
import { WeightStore } from "./weight_store.ts";

/** Options of the platform stand-in. */
export interface PlatformStateOptions {
  readonly clock?: Clock;
  /** Delay before a change is visible in the list of instances; 1000 by default. */
  readonly listLagMilliseconds?: number;
  /** Whether orders with a stale fencing number are refused; true by default. */
  readonly checksFencing?: boolean;
  /** Delay between an order and the listing of its server; 0 by default. */
  readonly startDelayMilliseconds?: number;
  /** Starts the backend server that an order requests. */
  readonly startServer?: (order: ServerOrder) => Promise<StartedServer>;
  readonly microsPerHour?: Readonly<Record<Tier, number>>;
  readonly capacity?: (failureDomain: string, tier: Tier) => number;
  readonly weightBytes?: number;
  /** Rate limit shared by all weight downloads; 0 for no limit. */
  readonly weightBytesPerSecond?: number;
}

/** The state of a platform stand-in. */
export interface PlatformState {
  readonly clock: Clock;
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly orders: OrderProcessor;
  readonly usageReports: UsageReportStore;
  readonly instances: InstanceList;
  readonly weights: WeightStore;
}

const DEFAULT_LIST_LAG_MILLISECONDS = 1000;
const DEFAULT_MICROS_PER_HOUR = { steady: 1_000_000, cheap: 300_000 } as const;
const DEFAULT_WEIGHT_BYTES = 1_000_000;

/**
 * Creates the state of a platform that has received no requests.
 * @param options - Limits and delays; each has a default.
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
  const orders = new OrderProcessor({
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
    usageReports: new UsageReportStore(),
    instances,
    weights,
  };
}
