import xxhash from "xxhash-wasm";
import type { BackendServerState } from "../backends/backend_server_state.ts";
import type { RoutingChoice, RoutingPolicy } from "./routing_policy.ts";
import type { Placement } from "./placement.ts";

const AFFINITY_PREFIX_BLOCKS = 4;

const { h32 } = await xxhash();

/** Baseline policy that chooses the server with the highest hash of server, organisation and prefix. */
export class Rendezvous implements RoutingPolicy {
  /** Chooses a server by the placement alone. */
  choose(
    candidates: ReadonlyArray<BackendServerState>,
    placement: Placement,
  ): RoutingChoice {
    return { server: rankByRendezvous(candidates, placement)[0]! };
  }
}

/**
 * Orders servers by the hash of server, organisation and the first 4 blocks of the prompt, highest
 * first.
 * @param candidates - Servers to order.
 * @param placement - Work to place.
 * @returns The servers; equal prefixes of the same organisation give the same order.
 * @example
 * ```ts
 * const [first] = rankByRendezvous(servers, placement);
 * ```
 */
export function rankByRendezvous(
  candidates: ReadonlyArray<BackendServerState>,
  placement: Placement,
): ReadonlyArray<BackendServerState> {
  const key = affinityKey(placement);
  return candidates
    .map((server) => ({ server, score: h32(`${server.address}\n${key}`) }))
    .sort((left, right) => right.score - left.score)
    .map(({ server }) => server);
}

function affinityKey(placement: Placement): string {
  const digests = placement.prefixDigests.slice(0, AFFINITY_PREFIX_BLOCKS);
  return `${placement.organisation}\n${digests.at(-1) ?? ""}`;
}
