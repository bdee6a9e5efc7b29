import type { PlatformOutcome } from "./platform_outcome.ts";
import type { Tier } from "./orders_client.ts";

/** An entry of the platform's instance list, which shows changes some seconds late. */
export interface ListedInstance {
  readonly kind: "node" | "backendServer";
  /** Node name, or the backend server's address. */
  readonly name: string;
  /** HOST:PORT: the peer address of a node, or the serving address of a backend server. */
  readonly address: string;
  readonly failureDomain: string;
  /** Service of a backend server; empty for a node. */
  readonly service: string;
  readonly tier: Tier;
  readonly leaving: boolean;
  /** Price per hour in millionths of the currency unit. */
  readonly microsPerHour: number;
}

/** Client of the platform's list of live and leaving instances, which shows changes late. */
export interface InstanceListClient {
  /** Reads the complete list. */
  list(): Promise<PlatformOutcome<ReadonlyArray<ListedInstance>>>;
  /** Registers this node so that other nodes find it; the node repeats the call as a heartbeat. */
  register(instance: ListedInstance): Promise<PlatformOutcome<void>>;
}
