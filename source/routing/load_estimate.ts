import type { BackendServerState } from "../backends/backend_server_state.ts";
import type { ServerStatistics } from "./server_statistics.ts";

/** Estimate of the number of requests at a server. */
export interface LoadEstimate {
  /** Expected number of requests. */
  readonly mean: number;
  /** Standard deviation of the number. */
  readonly deviation: number;
}

/** Server with the inputs to its load estimate. */
export interface ReportedServer {
  readonly server: BackendServerState;
  readonly statistics: ServerStatistics;
  /** Mean time that a request spends on the server, in milliseconds. */
  readonly serviceMilliseconds: number;
}

/**
 * Estimates the loads of a service's servers from delayed load reports, this node's own dispatches, and
 * the dispatches that peers published.
 *
 * This node knows its own requests exactly. The reports count the requests of other nodes with a delay;
 * as requests end and new ones start, a report loses its weight. The remaining weight goes to an
 * extrapolation that assumes that the other nodes distribute their requests as this node does. Without
 * the extrapolation, all nodes would follow the same delayed reports and choose the same server.
 * @param servers - All servers to compare.
 * @param now - Monotonic time in milliseconds.
 * @returns The estimates by address.
 * @example
 * ```ts
 * const loads = estimateLoads(servers, clock.monotonic());
 * ```
 */
export function estimateLoads(
  servers: ReadonlyArray<ReportedServer>,
  now: number,
): ReadonlyMap<string, LoadEstimate> {
  const others = servers.map((reported) => othersAtReport(reported, now));
  const own = servers.map(({ statistics }) => statistics.running + 1);
  const othersPerOwn = sum(others) / Math.max(1, sum(own));
  return new Map(servers.map((reported, index) => [
    reported.server.address,
    estimateLoad(reported, { others: others[index]!, othersPerOwn, now }),
  ]));
}

function estimateLoad(
  { server, statistics, serviceMilliseconds }: ReportedServer,
  { others, othersPerOwn, now }: {
    readonly others: number;
    readonly othersPerOwn: number;
    readonly now: number;
  },
): LoadEstimate {
  const age = server.loadAgeMilliseconds;
  // A report doesn't state its delay at arrival; the delay is assumed to equal the time between reports.
  const delayMilliseconds = age + statistics.recordReportAge(age, now);
  const remaining = remainingShare(delayMilliseconds, serviceMilliseconds);
  const extrapolated = (statistics.running + 1) * othersPerOwn;
  const estimated = remaining * others + (1 - remaining) * extrapolated;
  const count = Math.max(estimated, server.dispatchedByPeers);
  const deviation = Math.sqrt(count * (1 - remaining ** 2));
  return { mean: statistics.running + count, deviation };
}

function sum(counts: ReadonlyArray<number>): number {
  return counts.reduce((total, count) => total + count, 0);
}

// Assumes exponentially distributed service times: the share of reported requests that still run decays with
// the delay of the report.
function remainingShare(
  delayMilliseconds: number,
  serviceMilliseconds: number,
): number {
  if (serviceMilliseconds <= 0) return 0;
  return Math.exp(-delayMilliseconds / serviceMilliseconds);
}

function othersAtReport(
  { server, statistics }: ReportedServer,
  now: number,
): number {
  const reported = server.running + server.waiting;
  const ownAtReport = statistics.running -
    statistics.loadChangeSince(now - server.loadAgeMilliseconds);
  return Math.max(0, reported - ownAtReport);
}
