import type { PlatformOutcome } from "./platform_outcome.ts";
import type { Tier } from "./orders_client.ts";

/** An instance as the platform's list has it, some seconds late. */
export interface ListedInstance {
  readonly kind: "node" | "backendServer";
  /** Node name, or the backend server's address. */
  readonly name: string;
  /** HOST:PORT: of a node its peer address, of a backend server where it answers. */
  readonly address: string;
  readonly failureDomain: string;
  /** Service of a backend server; empty for a node. */
  readonly service: string;
  readonly tier: Tier;
  readonly leaving: boolean;
  /** Millionths of the currency unit in an hour. */
  readonly microsPerHour: number;
}

/** The platform's lagging list of live and leaving instances. */
export interface InstanceListClient {
  /** Reads the whole list. */
  list(): Promise<PlatformOutcome<ReadonlyArray<ListedInstance>>>;
  /** Registers this node so that others find it; repeated as a sign of life. */
  register(instance: ListedInstance): Promise<PlatformOutcome<void>>;
}
