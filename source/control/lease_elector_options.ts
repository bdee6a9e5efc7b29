import type { NodeContext } from "../context/node_context.ts";
import type { TableClient } from "../platform/table_client.ts";

/** The part of the node context that a lease elector uses. */
export interface LeaseElectorContext extends
  Pick<
    NodeContext,
    "nodeStart" | "clock" | "random" | "log" | "stopping"
  > {
  readonly settings: Pick<
    NodeContext["settings"],
    "node" | "leaseMilliseconds" | "orderDeadlineMilliseconds"
  >;
  readonly platform: { readonly table: Pick<TableClient, "get" | "commit"> };
}

/** Options of a lease elector. */
export interface LeaseElectorOptions {
  /** Its settings define the lease duration and the order deadline. */
  readonly context: LeaseElectorContext;
  /** Name of the lease, such as "usage" or "orders/dot-models". */
  readonly name: string;
  /** Returns the number of nodes that compete for the lease; about 8 of them poll it at a time. */
  readonly countLeaseCandidates?: () => number;
  /**
   * Time in which the lease must not return to a node that held it before another one; 0 if absent.
   * A process waits this long from its start, as an earlier process of its node may have held the
   * lease.
   */
  readonly returnMilliseconds?: number;
  /**
   * Whether this node may hold the lease at present; a holder that may not releases it. Always if
   * absent.
   */
  readonly isCandidate?: () => boolean;
  /**
   * Whether a node has only one process at a time, so that a new process takes over the lease of its
   * node's earlier one without waiting for its end; false if absent.
   */
  readonly isNodeProcessUnique?: boolean;
}
