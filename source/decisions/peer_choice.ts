import type { RandomSource } from "../utilities/random_source.ts";

/** A node that may forward calls for another one. */
export interface PeerCandidate {
  readonly node: string;
  readonly failureDomain: string;
}

/** The node that needs another one. */
export interface PeerChoiceOptions {
  readonly failureDomain: string;
  readonly random: RandomSource;
}

/**
 * Chooses the node that forwards a call to a server which this node can't reach.
 *
 * Load pattern: some nodes, also all of a failure domain, lose their paths to all servers at once and
 * send all their calls to the others. They choose at random, so that no node gets the calls of all of
 * them, and within their failure domain if they can, as traffic between domains is charged.
 * @param candidates - Serving nodes that reach servers and answered when they were last asked.
 * @param options - This node and its random source.
 * @returns The node; undefined without a candidate.
 * @example
 * ```ts
 * const peer = choosePeer(candidates, { failureDomain: "a", random });
 * ```
 */
export function choosePeer<Candidate extends PeerCandidate>(
  candidates: ReadonlyArray<Candidate>,
  { failureDomain, random }: PeerChoiceOptions,
): Candidate | undefined {
  const near = candidates.filter((candidate) =>
    candidate.failureDomain === failureDomain
  );
  const choices = near.length > 0 ? near : candidates;
  return choices[random.nextBelow(Math.max(1, choices.length))];
}
