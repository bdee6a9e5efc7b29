import type { ReceivedOrder } from "../../stand_ins/platform/order_processor.ts";
import type { ReceivedUsageReport } from "../../stand_ins/platform/usage_report_store.ts";
import type { Deployment, RunningServer } from "../deployment/deployment.ts";
import type { Journal } from "./journal.ts";

const FETCH_TIMEOUT_MILLISECONDS = 5000;

/** Request as a backend server received it. */
export interface BackendRequest {
  readonly server: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
  readonly finished: boolean;
}

/** Observations of a run from outside the nodes. */
export interface Evidence {
  readonly journal: Journal;
  readonly backendRequests: ReadonlyArray<BackendRequest>;
  readonly orders: ReadonlyArray<ReceivedOrder>;
  readonly usageReports: ReadonlyArray<ReceivedUsageReport>;
  readonly trainerOrganisation: string;
  readonly stalenessBound: number;
  readonly keyBoundMilliseconds: number;
  readonly configurationBoundMilliseconds: number;
}

/** Collects the requests that backend servers received, also those of servers that are killed. */
export class BackendRequestCollector {
  readonly #requests: BackendRequest[] = [];

  /**
   * Reads the requests that a server received since its start; call it before its process is ended.
   * @param server - Server to read.
   */
  async collect(server: RunningServer): Promise<void> {
    const log = await fetchJson(`http://${server.address}/log`) as
      | { readonly requests: ReadonlyArray<BackendRequest> }
      | undefined;
    for (const request of log?.requests ?? []) {
      const { address, service } = server;
      this.#requests.push({ ...request, server: address, service });
    }
  }

  /** Requests collected so far. */
  get requests(): ReadonlyArray<BackendRequest> {
    return this.#requests;
  }
}

/**
 * Reads the orders and usage reports that the platform received.
 * @param deployment - Deployment whose platform is read.
 */
export async function collectPlatformRecords(
  deployment: Deployment,
): Promise<Pick<Evidence, "orders" | "usageReports">> {
  const base = `http://${deployment.platformAddress}`;
  const orders = await fetchJson(`${base}/orders`) as
    | { readonly orders: ReadonlyArray<ReceivedOrder> }
    | undefined;
  const reports = await fetchJson(`${base}/usage-reports`) as
    | { readonly reports: ReadonlyArray<ReceivedUsageReport> }
    | undefined;
  return { orders: orders?.orders ?? [], usageReports: reports?.reports ?? [] };
}

async function fetchJson(url: string): Promise<unknown> {
  try {
    const response = await fetch(url, {
      signal: AbortSignal.timeout(FETCH_TIMEOUT_MILLISECONDS),
    });
    return await response.json();
  } catch {
    return undefined;
  }
}
