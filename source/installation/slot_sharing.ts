import {
  isWithinShare,
  type SharingNodes,
  VIEW_AGE_MILLISECONDS,
} from "../decisions/slot_share.ts";
import type { Rendezvous } from "../membership/rendezvous.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EngineUseRecord } from "./node_record.ts";

/** Another node and its published use of servers; undefined when it uses none. */
export interface NodeUse {
  readonly node: string;
  readonly engineUse: EngineUseRecord | undefined;
}

/** A server whose slots are shared. */
export interface SharedServer {
  readonly identifier: string;
  readonly service: string;
  readonly slots: number;
}

/** Requests at a server. */
export interface ServerRequests {
  /** Number of this node's requests. */
  readonly running: number;
  /** Number of other nodes' requests, as this node knows it. */
  readonly elsewhere: number;
}

/** Dependencies of the sharing of slots. */
export interface SlotSharingOptions {
  /** Name of this node. */
  readonly node: string;
  readonly clock: Pick<Clock, "monotonic">;
  readonly rendezvous: Rendezvous;
  /** Returns the service of a registered server. */
  readonly findService: (server: string) => string | undefined;
}

interface Publication {
  readonly at: number;
  readonly running: Readonly<Record<string, number>>;
}

/** The other nodes that use a service, and this node's rank among them at each server. */
interface ServiceSharing {
  readonly nodes: ReadonlyArray<string>;
  readonly ranks: Map<string, number>;
}

/**
 * Tells which free slots belong to this node's share. Nodes learn from the heartbeats who else uses a
 * service; without any heartbeat, the nodes that were known last keep their shares.
 */
export class SlotSharing {
  readonly #options: SlotSharingOptions;
  /** What this node published, oldest first. */
  #publications: Publication[] = [];
  #services = new Map<string, ServiceSharing>();

  /** @param options - The node, the clock and the servers. */
  constructor(options: SlotSharingOptions) {
    this.#options = options;
  }

  /** Records the number of requests at each server that this node publishes. */
  recordPublished(running: Readonly<Record<string, number>>): void {
    const at = this.#options.clock.monotonic();
    this.#publications.push({ at, running });
    const oldest = at - VIEW_AGE_MILLISECONDS;
    // The newest of the older ones may still be what another node knows.
    while ((this.#publications[1]?.at ?? Infinity) <= oldest) {
      this.#publications.shift();
    }
  }

  /** Applies the latest records of all other nodes. */
  apply(uses: ReadonlyArray<NodeUse>): void {
    if (uses.length === 0) return;
    const byService = new Map<string, Set<string>>();
    for (const { node, engineUse } of uses) {
      for (const server of Object.keys(engineUse?.running ?? {})) {
        const service = this.#options.findService(server);
        if (service === undefined) continue;
        const nodes = byService.get(service) ?? new Set();
        byService.set(service, nodes.add(node));
      }
    }
    this.#services = new Map(
      [...byService].map(([service, nodes]) => [
        service,
        this.#toSharing(service, [...nodes].sort()),
      ]),
    );
  }

  /** Number of nodes that use a service, this one included. */
  countNodes(service: string): number {
    return (this.#services.get(service)?.nodes.length ?? 0) + 1;
  }

  /** Whether a slot of a server belongs to this node's share of the free ones. */
  isWithinShare(
    server: SharedServer,
    { running, elsewhere }: ServerRequests,
  ): boolean {
    const published = this.#findPublished(server.identifier);
    return isWithinShare({
      slots: server.slots,
      running,
      elsewhere,
      published,
    }, this.#findNodes(server));
  }

  /** Returns a number from 0 up to but not including 1 by which nodes differ at a server. */
  breakTie(server: string): number {
    const { node, rendezvous } = this.#options;
    return rendezvous.score(node, server) / 2 ** 32;
  }

  // Ranks are kept while the same nodes use the service, since each compares all of them.
  #toSharing(
    service: string,
    nodes: ReadonlyArray<string>,
  ): ServiceSharing {
    const current = this.#services.get(service);
    const isSame = current?.nodes.length === nodes.length &&
      current.nodes.every((node, index) => node === nodes[index]);
    return isSame ? current : { nodes, ranks: new Map() };
  }

  #findNodes({ identifier, service }: SharedServer): SharingNodes {
    const sharing = this.#services.get(service);
    if (sharing === undefined) return { count: 1, rank: 0 };
    const { node, rendezvous } = this.#options;
    let rank = sharing.ranks.get(identifier);
    if (rank === undefined) {
      const own = rendezvous.score(identifier, node);
      rank = sharing.nodes.filter((other) =>
        rendezvous.score(identifier, other) > own
      ).length;
      sharing.ranks.set(identifier, rank);
    }
    return { count: sharing.nodes.length + 1, rank };
  }

  // Another node may know any of the publications, so the smallest number is safe.
  #findPublished(server: string): number {
    if (this.#publications.length === 0) return 0;
    return Math.min(
      ...this.#publications.map(({ running }) => running[server] ?? 0),
    );
  }
}
