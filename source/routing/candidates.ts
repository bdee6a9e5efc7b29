import type { BackendServerState } from "../backends/backend_server_state.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import { rankByRendezvous } from "./rendezvous.ts";
import type { Placement } from "./placement.ts";

const MAXIMUM_LOAD_RATIO = 1.25;
const MAXIMUM_AFFINE_CANDIDATES = 2;
const MAXIMUM_RANDOM_CANDIDATES = 2;

/** Inputs to the choice of candidates. */
export interface CandidateOptions {
  readonly placement: Placement;
  readonly random: RandomSource;
  /** Returns the estimated load of a server, in requests. */
  readonly loadOf: (server: BackendServerState) => number;
}

/**
 * Picks at most 4 servers to compare: of the servers with a load of at most 1.25 times the mean,
 * the first 2 by rendezvous hash of the prefix; and 2 at random, so that nodes with the same
 * delayed load reports don't all choose the same server.
 * @param servers - Servers that may receive the work.
 * @param options - Work, load estimate and random source.
 * @example
 * ```ts
 * const candidates = pickCandidates(servers, { placement, random, loadOf });
 * ```
 */
export function pickCandidates(
  servers: ReadonlyArray<BackendServerState>,
  options: CandidateOptions,
): ReadonlyArray<BackendServerState> {
  if (servers.length <= MAXIMUM_AFFINE_CANDIDATES + MAXIMUM_RANDOM_CANDIDATES) {
    return servers;
  }
  const picked = new Set(pickAffine(servers, options));
  const rest = servers.filter((server) => !picked.has(server));
  for (let count = 0; count < MAXIMUM_RANDOM_CANDIDATES; count += 1) {
    if (rest.length === 0) break;
    const [server] = rest.splice(options.random.nextBelow(rest.length), 1);
    picked.add(server!);
  }
  return [...picked];
}

function pickAffine(
  servers: ReadonlyArray<BackendServerState>,
  { placement, loadOf }: CandidateOptions,
): ReadonlyArray<BackendServerState> {
  if (placement.prefixDigests.length === 0) return [];
  const loads = servers.map(loadOf);
  const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
  const bound = Math.max(1, MAXIMUM_LOAD_RATIO * mean);
  return rankByRendezvous(servers, placement)
    .filter((server) => loadOf(server) <= bound)
    .slice(0, MAXIMUM_AFFINE_CANDIDATES);
}
