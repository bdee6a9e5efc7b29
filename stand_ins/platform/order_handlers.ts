import type { ServerOrder, Tier } from "../../source/platform/orders_client.ts";
import type { UsageReport } from "../../source/platform/usage_report_client.ts";
import {
  createOkResponse,
  parseBody,
  type PlatformRequest,
  type PlatformResponse,
} from "./platform_exchange.ts";

/** Handles `POST /orders`. */
export async function placeOrder(
  request: PlatformRequest,
): Promise<PlatformResponse> {
  return createOkResponse(
    await request.state.orders.place(parseBody<ServerOrder>(request)),
  );
}

/** Handles `GET /orders`. */
export function listOrders(request: PlatformRequest): PlatformResponse {
  return createOkResponse({ orders: request.state.orders.received() });
}

/** Handles `POST /usage-reports`. */
export function receiveUsageReport(request: PlatformRequest): PlatformResponse {
  const report = parseBody<UsageReport>(request);
  const { usageReports, clock } = request.state;
  return createOkResponse(usageReports.record(report, clock.wall()));
}

/** Handles `GET /usage-reports`. */
export function listUsageReports(request: PlatformRequest): PlatformResponse {
  return createOkResponse({ reports: request.state.usageReports.received() });
}

/** Handles `POST /reclaim`, which stops the servers after the notice period. */
export function reclaimServers(request: PlatformRequest): PlatformResponse {
  const { failureDomain, tier, noticeMilliseconds } = parseBody<{
    readonly failureDomain: string;
    readonly tier: Tier;
    readonly noticeMilliseconds: number;
  }>(request);
  const { orders } = request.state;
  void orders.reclaim(failureDomain, tier, noticeMilliseconds);
  return createOkResponse({});
}

/** Handles `POST /availability`, which sets whether a tier is available in a failure domain. */
export function setAvailability(request: PlatformRequest): PlatformResponse {
  const { failureDomain, tier, available } = parseBody<{
    readonly failureDomain: string;
    readonly tier: Tier;
    readonly available: boolean;
  }>(request);
  request.state.orders.setTierAvailable(failureDomain, tier, available);
  return createOkResponse({});
}
