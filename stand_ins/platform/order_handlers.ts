import type { ServerOrder, Tier } from "../../source/platform/orders_client.ts";
import type { UsageReport } from "../../source/platform/usage_report_client.ts";
import {
  ok,
  parseBody,
  type PlatformAnswer,
  type PlatformRequest,
} from "./platform_exchange.ts";

/** Serves `POST /orders`. */
export async function placeOrder(
  request: PlatformRequest,
): Promise<PlatformAnswer> {
  return ok(await request.state.orders.place(parseBody<ServerOrder>(request)));
}

/** Serves `GET /orders`. */
export function listOrders(request: PlatformRequest): PlatformAnswer {
  return ok({ orders: request.state.orders.received() });
}

/** Serves `POST /usage-reports`. */
export function takeUsageReport(request: PlatformRequest): PlatformAnswer {
  const report = parseBody<UsageReport>(request);
  const { usageReports, clock } = request.state;
  return ok(usageReports.take(report, clock.wall()));
}

/** Serves `GET /usage-reports`. */
export function listUsageReports(request: PlatformRequest): PlatformAnswer {
  return ok({ reports: request.state.usageReports.received() });
}

/** Serves `POST /reclaim`; the servers end after the notice. */
export function reclaimServers(request: PlatformRequest): PlatformAnswer {
  const { failureDomain, tier, noticeMilliseconds } = parseBody<{
    readonly failureDomain: string;
    readonly tier: Tier;
    readonly noticeMilliseconds: number;
  }>(request);
  const { orders } = request.state;
  void orders.reclaim(failureDomain, tier, noticeMilliseconds);
  return ok({});
}

/** Serves `POST /availability`: whether a tier can be had in a failure domain. */
export function setAvailability(request: PlatformRequest): PlatformAnswer {
  const { failureDomain, tier, available } = parseBody<{
    readonly failureDomain: string;
    readonly tier: Tier;
    readonly available: boolean;
  }>(request);
  request.state.orders.setAvailable(failureDomain, tier, available);
  return ok({});
}
