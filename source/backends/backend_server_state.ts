import type { Tier } from "../platform/orders_client.ts";

/** What this node believes of one backend server. Load figures lag. */
export interface BackendServerState {
  /** HOST:PORT; identifies the server in lists, not across its restarts. */
  readonly address: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly tier: Tier;
  /** Identity of the server's process, new at each start; empty when not known yet. */
  readonly startIdentity: string;
  /** No new work may go to a leaving server. */
  readonly leaving: boolean;
  readonly reachable: boolean;
  readonly running: number;
  readonly waiting: number;
  /** Age of the load figures on this node's clock, in milliseconds. */
  readonly loadAgeMilliseconds: number;
  readonly cacheFreePermille: number;
  /** Loaded weight versions, ascending; empty for a plain service. */
  readonly weightVersions: ReadonlyArray<number>;
  /** Requests that other nodes have told to be running there. */
  readonly dispatchedByPeers: number;
  readonly tokensPerSecond: number;
  readonly microsPerHour: number;
}

/** Read-only view of the backend servers, kept by membership. */
export interface BackendServerView {
  /** Returns all known servers of a service, leaving ones included. */
  servers(service: string): ReadonlyArray<BackendServerState>;
  /** Returns whether a server may get new work at this moment; checked in the tick of dispatch. */
  isAvailable(address: string): boolean;
  /** Tells that this node found a server unreachable or restarted, ahead of its next report. */
  noteUnreachable(address: string): void;
  /** Tells that this node got a notice that a server is leaving; it reaches all nodes. */
  noteLeaving?(address: string): void;
}
