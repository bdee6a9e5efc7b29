import type { BackendServerState } from "../backends/backend_server_state.ts";
import type { ServerRecord } from "./server_record.ts";

/** Estimate of how many requests a server has now. */
export interface LoadEstimate {
  readonly mean: number;
  /** Standard deviation of the number. */
  readonly deviation: number;
}

/** A server with what is needed to estimate its load. */
export interface ReportedServer {
  readonly server: BackendServerState;
  readonly record: ServerRecord;
  /** Time that a request spends on the server, in milliseconds. */
  readonly serviceMilliseconds: number;
}

/**
 * Estimates the loads of like servers from late reports, this node's own dispatches, and
 * what peers have told of theirs.
 *
 * This node's own requests are known exactly. Those of others were reported some time ago;
 * as requests end and new ones come, a report says less and less. What it no longer says is
 * made up for by taking the other nodes to have done as this one did: nodes that all went by
 * the same late reports would all choose the same server.
 * @param servers - All servers that are compared.
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
  const own = servers.map(({ record }) => record.running + 1);
  const othersForEachOwn = sum(others) / Math.max(1, sum(own));
  return new Map(servers.map((reported, index) => [
    reported.server.address,
    estimateLoad(reported, { others: others[index]!, othersForEachOwn, now }),
  ]));
}

function estimateLoad(
  { server, record, serviceMilliseconds }: ReportedServer,
  { others, othersForEachOwn, now }: {
    readonly others: number;
    readonly othersForEachOwn: number;
    readonly now: number;
  },
): LoadEstimate {
  const age = server.loadAgeMilliseconds;
  const lateness = age + record.noteReportAge(age, now);
  const kept = keptShare(lateness, serviceMilliseconds);
  const alike = (record.running + 1) * othersForEachOwn;
  const estimated = kept * others + (1 - kept) * alike;
  const count = Math.max(estimated, server.dispatchedByPeers);
  const deviation = Math.sqrt(count * (1 - kept ** 2));
  return { mean: record.running + count, deviation };
}

function sum(counts: ReadonlyArray<number>): number {
  return counts.reduce((total, count) => total + count, 0);
}

// A report says nothing of how late it was when it came; it is taken to have been as late
// as the time between reports.
function keptShare(lateness: number, serviceMilliseconds: number): number {
  if (serviceMilliseconds <= 0) return 0;
  return Math.exp(-lateness / serviceMilliseconds);
}

function othersAtReport(
  { server, record }: ReportedServer,
  now: number,
): number {
  const reported = server.running + server.waiting;
  const ownThen = record.running -
    record.changeSince(now - server.loadAgeMilliseconds);
  return Math.max(0, reported - ownThen);
}
