import type { SendGuard } from "../platform/send_guard.ts";

/** Who performs a duty, and with which fencing number. */
export interface DutyHolder {
  readonly holder: string;
  readonly fencingNumber: number;
}

/** How a duty call ended. */
export type DutyOutcome =
  | { readonly kind: "accepted" }
  /** A higher fencing number was seen, or nothing is available there. */
  | { readonly kind: "conflict" }
  | { readonly kind: "notRun" | "unknown"; readonly reason: string };

/** Requests of each organisation that began to run in one window. */
export interface UsageReport {
  /** Number of the window since 1970. */
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** How many servers of a service one failure domain should have. */
export interface ServerOrder {
  readonly service: string;
  readonly failureDomain: string;
  readonly servers: number;
  /** Whether they may be taken away at short notice. */
  readonly isReclaimable: boolean;
}

/** The platform's calls that are the duty of one node at a time. */
export interface DutyClient {
  /** Reports the usage of a window. */
  reportUsage(
    report: UsageReport,
    options: { readonly duty: DutyHolder; readonly guard: SendGuard },
  ): Promise<DutyOutcome>;
  /** Orders servers. */
  orderServers(
    order: ServerOrder,
    options: { readonly duty: DutyHolder; readonly guard: SendGuard },
  ): Promise<DutyOutcome>;
}
