import type { BackendServerState } from "../backends/backend_server_state.ts";
import type { ServerRecord } from "./server_record.ts";

/** Estimate of how many requests a server has now. */
export interface LoadEstimate {
  readonly mean: number;
  /** Standard deviation of what may have changed since the report. */
  readonly deviation: number;
}

/** What a load estimate goes by. */
export interface LoadEstimateOptions {
  readonly record: ServerRecord;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Time that a request spends on the server, in milliseconds. */
  readonly serviceMilliseconds: number;
}

/**
 * Estimates the load of a server from its late report, this node's own dispatches since
 * then, and what peers have told of theirs.
 * @param server - The server as it was reported.
 * @param options - Own experience.
 * @example
 * ```ts
 * const { mean } = estimateLoad(server, { record, now, serviceMilliseconds: 500 });
 * ```
 */
export function estimateLoad(
  server: BackendServerState,
  options: LoadEstimateOptions,
): LoadEstimate {
  const { record, now, serviceMilliseconds } = options;
  const age = server.loadAgeMilliseconds;
  const reported = server.running + server.waiting;
  const corrected = reported + record.changeSince(now - age);
  const told = record.running + server.dispatchedByPeers;
  const mean = Math.max(corrected, told, record.running);
  const turnover = serviceMilliseconds > 0 ? age / serviceMilliseconds : 0;
  return { mean, deviation: Math.sqrt(2 * mean * Math.min(1, turnover)) };
}
