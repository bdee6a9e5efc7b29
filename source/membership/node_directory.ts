import type { ListedInstance } from "../platform/instance_list_client.ts";
import type { Clock } from "../utilities/clock.ts";
import type { FactStore } from "./fact_store.ts";
import type { PeerCandidate } from "./peer_choice.ts";
import type { Peer } from "./peer_directory.ts";

/** Time for which a node counts as live by the platform's list alone. */
const LISTED_KEPT_MILLISECONDS = 15_000;

/** What the directory needs. */
export interface NodeDirectoryOptions {
  /** Name of this node. */
  readonly node: string;
  readonly store: FactStore;
  readonly clock: Clock;
}

/** Merges the nodes that the platform lists with those that tell of themselves. */
export class NodeDirectory {
  readonly #options: NodeDirectoryOptions;
  #listed: ReadonlyArray<ListedInstance> = [];
  #listedAt = -Infinity;

  /** @param options - Where told facts come from. */
  constructor(options: NodeDirectoryOptions) {
    this.#options = options;
  }

  /** Takes the nodes of a newly read list over. */
  noteListed(instances: ReadonlyArray<ListedInstance>): void {
    this.#listed = instances.filter(({ kind, name }) =>
      kind === "node" && name !== this.#options.node
    );
    this.#listedAt = this.#options.clock.monotonic();
  }

  /** Returns the live peers by name, leaving ones included. */
  peers(): ReadonlyArray<Peer> {
    const peers = new Map<string, Peer>();
    for (const peer of this.#listedPeers()) peers.set(peer.node, peer);
    for (const peer of this.#toldPeers()) {
      const other = peers.get(peer.node);
      const isOlder = other !== undefined && other.nodeStart !== "" &&
        other.ageMilliseconds <= peer.ageMilliseconds;
      if (!isOlder) peers.set(peer.node, peer);
    }
    return [...peers.values()];
  }

  /** Returns the nodes that streams may lead to, those last listed included, however old the list is. */
  candidates(): ReadonlyArray<PeerCandidate> {
    const candidates = new Map<string, PeerCandidate>();
    for (const instance of this.#listed) {
      candidates.set(instance.name, toListedPeer(instance, 0));
    }
    for (const peer of this.peers()) candidates.set(peer.node, peer);
    return [...candidates.values()];
  }

  #listedPeers(): ReadonlyArray<Peer> {
    const age = this.#options.clock.monotonic() - this.#listedAt;
    if (age > LISTED_KEPT_MILLISECONDS) return [];
    return this.#listed.map((instance) => toListedPeer(instance, age));
  }

  #toldPeers(): ReadonlyArray<Peer> {
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
        ageMilliseconds: store.originAge(origin, originStart),
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
