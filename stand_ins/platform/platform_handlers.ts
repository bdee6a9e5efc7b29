import {
  listInstances,
  readWeights,
  registerInstance,
} from "./instance_handlers.ts";
import { deleteObject, putObject, readObjects } from "./object_handlers.ts";
import {
  listOrders,
  listUsageReports,
  placeOrder,
  receiveUsageReport,
  reclaimServers,
  setAvailability,
} from "./order_handlers.ts";
import type { PlatformHandler } from "./platform_exchange.ts";
import { commitTransaction, readTable } from "./table_handlers.ts";

/** Handlers by HTTP method and first path segment. */
export const PLATFORM_HANDLERS: Readonly<Record<string, PlatformHandler>> = {
  "GET table": readTable,
  "POST table": commitTransaction,
  "PUT objects": putObject,
  "GET objects": readObjects,
  "DELETE objects": deleteObject,
  "POST orders": placeOrder,
  "GET orders": listOrders,
  "POST usage-reports": receiveUsageReport,
  "GET usage-reports": listUsageReports,
  "POST reclaim": reclaimServers,
  "POST availability": setAvailability,
  "GET instances": listInstances,
  "POST instances": registerInstance,
  "GET weights": readWeights,
};
