import type { SendGuard } from "../platform/send_guard.ts";

/** The node that holds the duty lease, and the fencing number of its lease. */
export interface DutyHolder {
  readonly holder: string;
  readonly fencingNumber: number;
}

/** The result of a duty call. */
export type DutyOutcome =
  | { readonly kind: "accepted" }
  /** The platform has seen a higher fencing number, or has no capacity in the failure domain. */
  | { readonly kind: "conflict" }
  | { readonly kind: "notRun" | "unknown"; readonly reason: string };

/** Number of requests by organisation that started to run in one window. */
export interface UsageReport {
  /** Index of the window, counted from the Unix epoch. */
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** The number of servers that a service should have in one failure domain. */
export interface ServerOrder {
  readonly service: string;
  readonly failureDomain: string;
  readonly servers: number;
  /** Whether the platform may reclaim the servers at short notice. */
  readonly isReclaimable: boolean;
}

/** Client for the platform calls that only the holder of the duty lease makes. */
export interface DutyClient {
  /** Reports the usage of one window. */
  reportUsage(
    report: UsageReport,
    options: { readonly duty: DutyHolder; readonly guard: SendGuard },
  ): Promise<DutyOutcome>;
  /** Orders servers for one failure domain. */
  orderServers(
    order: ServerOrder,
    options: { readonly duty: DutyHolder; readonly guard: SendGuard },
  ): Promise<DutyOutcome>;
}
