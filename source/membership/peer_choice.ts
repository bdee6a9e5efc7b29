import type { Rendezvous } from "./rendezvous.ts";

/** Node to which a peer stream can be opened. */
export interface PeerCandidate {
  readonly node: string;
  readonly failureDomain: string;
  /** HOST:PORT for peers. */
  readonly peerAddress: string;
}

/** Choosing node and its number of streams. */
export interface PeerChoiceOptions {
  /** Name of the choosing node. */
  readonly node: string;
  /** Number of streams that the node maintains. */
  readonly streams: number;
  readonly rendezvous: Rendezvous;
}

/**
 * Chooses the peers to which a node maintains streams: first the highest-ranked peer of each failure domain, then the
 * highest-ranked of the remaining peers.
 * @param candidates - The live nodes other than the choosing one.
 * @param options - The choosing node and its number of streams.
 * @returns At most `options.streams` peers, or one per failure domain where there are more failure
 * domains.
 * @example
 * ```ts
 * const peers = choosePeers(candidates, { node: "node-1", streams: 6, rendezvous });
 * ```
 */
export function choosePeers(
  candidates: ReadonlyArray<PeerCandidate>,
  options: PeerChoiceOptions,
): ReadonlyArray<PeerCandidate> {
  const ranked = options.rendezvous.choose(options.node, candidates, {
    count: candidates.length,
    name: (candidate) => candidate.node,
  });
  const domains = new Set<string>();
  const firstOfDomains: PeerCandidate[] = [];
  const furtherPeers: PeerCandidate[] = [];
  for (const candidate of ranked) {
    const isFirst = !domains.has(candidate.failureDomain);
    domains.add(candidate.failureDomain);
    (isFirst ? firstOfDomains : furtherPeers).push(candidate);
  }
  const remainingStreams = Math.max(0, options.streams - firstOfDomains.length);
  return [...firstOfDomains, ...furtherPeers.slice(0, remainingStreams)];
}
