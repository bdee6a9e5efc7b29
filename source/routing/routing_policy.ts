import type { BackendServerState } from "../backends/backend_server_state.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { Placement } from "./placement.ts";
import type { ServerExperience } from "./server_experience.ts";

/** Names of the routing policies. */
export type RoutingPolicyName =
  | "expectedFinish"
  | "leastOutstanding"
  | "rendezvous"
  | "roundRobin";

/** What a policy may go by besides the servers' states. */
export interface RoutingKnowledge {
  /** Failure domain of this node. */
  readonly failureDomain: string;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  readonly random: RandomSource;
  readonly experience: ServerExperience;
}

/** A chosen server. */
export interface RoutingChoice {
  readonly server: BackendServerState;
  /** Time until the work is expected to be finished; undefined where a policy does not tell. */
  readonly expectedMilliseconds?: number;
}

/** Chooses a server for work. */
export interface RoutingPolicy {
  /**
   * Chooses among servers that may get the work.
   * @param candidates - Never empty.
   */
  choose(
    candidates: ReadonlyArray<BackendServerState>,
    placement: Placement,
    knowledge: RoutingKnowledge,
  ): RoutingChoice;
}
