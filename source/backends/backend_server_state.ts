import type { Tier } from "../platform/orders_client.ts";

/** State of one backend server as this node last received it; the load figures are delayed. */
export interface BackendServerState {
  /** HOST:PORT; identifies the server in lists, but not one process of it across restarts. */
  readonly address: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly tier: Tier;
  /** Incarnation of the server's process, which changes at each start; empty until it is known. */
  readonly startIdentity: string;
  /** Whether the server is about to stop; a leaving server gets no new work. */
  readonly leaving: boolean;
  readonly reachable: boolean;
  /** Number of requests that the server runs. */
  readonly running: number;
  /** Number of requests in the server's queue. */
  readonly waiting: number;
  /** Age of the load figures on this node's clock, in milliseconds. */
  readonly loadAgeMilliseconds: number;
  readonly cacheFreePermille: number;
  /** Loaded weight versions, ascending; empty for a plain service. */
  readonly weightVersions: ReadonlyArray<number>;
  /** Number of requests that other nodes report as running on the server. */
  readonly dispatchedByPeers: number;
  readonly tokensPerSecond: number;
  readonly microsPerHour: number;
}

/** The backend servers as this node knows them; membership updates their states. */
export interface BackendServerView {
  /** Returns all known servers of a service, leaving ones included. */
  servers(service: string): ReadonlyArray<BackendServerState>;
  /** Returns whether a server may get new work now; called in the tick that sends a request. */
  isAvailable(address: string): boolean;
  /** Marks a server that this node found unreachable or restarted, before its next load report. */
  markUnreachable(address: string): void;
  /** Marks a server as leaving after this node received its notice; all nodes get the mark. */
  markLeaving?(address: string): void;
}
