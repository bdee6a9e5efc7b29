import type { Rendezvous } from "./rendezvous.ts";

/** A node that streams could lead to. */
export interface PeerCandidate {
  readonly node: string;
  readonly failureDomain: string;
  /** HOST:PORT for peers. */
  readonly peerAddress: string;
}

/** Who chooses, and how many streams it keeps. */
export interface PeerChoiceOptions {
  readonly node: string;
  readonly streams: number;
  readonly rendezvous: Rendezvous;
}

/**
 * Chooses the peers that a node keeps streams to: the best of each failure domain first, then the best of the rest.
 * @param candidates - The live nodes other than the choosing one.
 * @param options - The choosing node and its number of streams.
 * @returns At most as many peers as there are streams, but one for each failure domain.
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
  const firsts: PeerCandidate[] = [];
  const rest: PeerCandidate[] = [];
  for (const candidate of ranked) {
    const isFirst = !domains.has(candidate.failureDomain);
    domains.add(candidate.failureDomain);
    (isFirst ? firsts : rest).push(candidate);
  }
  const left = Math.max(0, options.streams - firsts.length);
  return [...firsts, ...rest.slice(0, left)];
}
