import type { BackendServerState } from "../backends/backend_server_state.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { Placement } from "./placement.ts";
import type { RoutingStatistics } from "./routing_statistics.ts";

/** Names of the routing policies. */
export type RoutingPolicyName =
  | "expectedFinish"
  | "leastOutstanding"
  | "rendezvous"
  | "roundRobin";

/** Inputs to a routing policy besides the servers' states. */
export interface RoutingInputs {
  /** Failure domain of this node. */
  readonly failureDomain: string;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  readonly random: RandomSource;
  readonly statistics: RoutingStatistics;
}

/** Server that a policy chose. */
export interface RoutingChoice {
  readonly server: BackendServerState;
  /** Expected time until the work is finished, in milliseconds; undefined if the policy doesn't estimate it. */
  readonly expectedMilliseconds?: number;
}

/** Routing policy. */
export interface RoutingPolicy {
  /**
   * Chooses a server for work.
   * @param candidates - Servers that may receive the work; never empty.
   * @param placement - Work to place.
   * @param inputs - Time, randomness and routing statistics.
   */
  choose(
    candidates: ReadonlyArray<BackendServerState>,
    placement: Placement,
    inputs: RoutingInputs,
  ): RoutingChoice;
}
