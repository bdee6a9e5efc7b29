import { HttpInstanceListClient } from "./http_instance_list_client.ts";
import { HttpObjectStoreClient } from "./http_object_store_client.ts";
import { HttpOrdersClient } from "./http_orders_client.ts";
import { HttpTableClient } from "./http_table_client.ts";
import { HttpUsageReportClient } from "./http_usage_report_client.ts";
import type { Platform } from "./platform.ts";
import {
  PlatformConnection,
  type PlatformConnectionOptions,
} from "./platform_connection.ts";

/**
 * Creates the clients of the platform's interfaces. Each interface has its own connection
 * pool, so that slow calls for orders or objects do not delay a lease renewal.
 * @param options - Address and limits of the connections.
 * @example
 * ```ts
 * const platform = createPlatform({
 *   address: "http://127.0.0.1:7000",
 *   clock: new SystemClock(),
 *   silenceMilliseconds: 1000,
 *   timeoutMilliseconds: 3000,
 * });
 * const row = await platform.table.get("leases", "usage");
 * ```
 */
export function createPlatform(options: PlatformConnectionOptions): Platform {
  return {
    table: new HttpTableClient(new PlatformConnection(options)),
    objects: new HttpObjectStoreClient(new PlatformConnection(options)),
    orders: new HttpOrdersClient(new PlatformConnection(options)),
    usageReports: new HttpUsageReportClient(new PlatformConnection(options)),
    instances: new HttpInstanceListClient(new PlatformConnection(options)),
  };
}
