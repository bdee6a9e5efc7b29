import type { ListedInstance } from "../platform/instance_list_client.ts";
import type { Clock } from "../utilities/clock.ts";
import type { FactStore } from "./fact_store.ts";
import type { PeerCandidate } from "./peer_choice.ts";
import type { Peer } from "./peer_directory.ts";

/** Time for which a node counts as live when only the platform's instance list contains it. */
const LISTED_NODE_LIFETIME_MILLISECONDS = 15_000;

/** Options of a node directory. */
export interface NodeDirectoryOptions {
  /** Name of this node. */
  readonly node: string;
  readonly store: FactStore;
  readonly clock: Clock;
}

/** Combines the nodes of the platform's instance list with the nodes that publish facts about themselves. */
export class NodeDirectory {
  readonly #options: NodeDirectoryOptions;
  #listedNodes: ReadonlyArray<ListedInstance> = [];
  #listedAt = -Infinity;

  /** @param options - Name of this node, store of the facts and clock. */
  constructor(options: NodeDirectoryOptions) {
    this.#options = options;
  }

  /** Applies a new version of the platform's instance list. */
  applyInstanceList(instances: ReadonlyArray<ListedInstance>): void {
    this.#listedNodes = instances.filter(({ kind, name }) =>
      kind === "node" && name !== this.#options.node
    );
    this.#listedAt = this.#options.clock.monotonic();
  }

  /** Returns the live peers, one per name, draining ones included. */
  peers(): ReadonlyArray<Peer> {
    const peers = new Map<string, Peer>();
    for (const peer of this.#listedPeers()) peers.set(peer.node, peer);
    for (const peer of this.#publishedPeers()) {
      const other = peers.get(peer.node);
      const isOlder = other !== undefined && other.nodeStart !== "" &&
        other.ageMilliseconds <= peer.ageMilliseconds;
      if (!isOlder) peers.set(peer.node, peer);
    }
    return [...peers.values()];
  }

  /** Returns the nodes to which streams may be opened: live peers and those of the last instance list, however old. */
  candidates(): ReadonlyArray<PeerCandidate> {
    const candidates = new Map<string, PeerCandidate>();
    for (const instance of this.#listedNodes) {
      candidates.set(instance.name, toListedPeer(instance, 0));
    }
    for (const peer of this.peers()) candidates.set(peer.node, peer);
    return [...candidates.values()];
  }

  #listedPeers(): ReadonlyArray<Peer> {
    const ageMilliseconds = this.#options.clock.monotonic() - this.#listedAt;
    if (ageMilliseconds > LISTED_NODE_LIFETIME_MILLISECONDS) return [];
    return this.#listedNodes.map((instance) =>
      toListedPeer(instance, ageMilliseconds)
    );
  }

  #publishedPeers(): ReadonlyArray<Peer> {
    const { store, node } = this.#options;
    return store.facts("node")
      .filter((fact) => fact.origin !== node && fact.key === fact.origin)
      .map(({ origin, originStart, value }) => ({
        node: origin,
        nodeStart: originStart,
        failureDomain: value.failureDomain,
        peerAddress: value.address,
        callerAddress: value.callerAddress,
        leaving: value.leaving,
        configurationRevision: Number(value.configurationRevision),
        ageMilliseconds: store.originAgeMilliseconds(origin, originStart),
      }));
  }
}

function toListedPeer(instance: ListedInstance, age: number): Peer {
  return {
    node: instance.name,
    nodeStart: "",
    failureDomain: instance.failureDomain,
    peerAddress: instance.address,
    callerAddress: "",
    leaving: instance.leaving,
    configurationRevision: 0,
    ageMilliseconds: age,
  };
}
