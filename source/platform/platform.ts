import type { InstanceListClient } from "./instance_list_client.ts";
import type { ObjectStoreClient } from "./object_store_client.ts";
import type { OrdersClient } from "./orders_client.ts";
import type { TableClient } from "./table_client.ts";
import type { UsageReportClient } from "./usage_report_client.ts";

/** Clients of all interfaces of the platform. */
export interface Platform {
  readonly table: TableClient;
  readonly objects: ObjectStoreClient;
  readonly orders: OrdersClient;
  readonly usageReports: UsageReportClient;
  readonly instances: InstanceListClient;
}
