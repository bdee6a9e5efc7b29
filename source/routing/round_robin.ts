import type { RoutingChoice, RoutingPolicy } from "./routing_policy.ts";
import type { BackendServerState } from "../backends/backend_server_state.ts";

/** Baseline policy that chooses the servers in turn. */
export class RoundRobin implements RoutingPolicy {
  #next = 0;

  /** Chooses the next server. */
  choose(candidates: ReadonlyArray<BackendServerState>): RoutingChoice {
    const index = this.#next % candidates.length;
    this.#next += 1;
    return { server: candidates[index]! };
  }
}
