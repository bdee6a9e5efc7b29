import type { BackendServerState } from "../backends/backend_server_state.ts";
import type {
  RoutingChoice,
  RoutingKnowledge,
  RoutingPolicy,
} from "./routing_policy.ts";
import type { Placement } from "./placement.ts";

/** Baseline: takes the server on which this node has the fewest requests running. */
export class LeastOutstanding implements RoutingPolicy {
  /** Chooses a server; equal ones at random. */
  choose(
    candidates: ReadonlyArray<BackendServerState>,
    _placement: Placement,
    knowledge: RoutingKnowledge,
  ): RoutingChoice {
    const { experience, random } = knowledge;
    const counts = candidates.map((server) =>
      experience.running(server.address)
    );
    const fewest = Math.min(...counts);
    const equal = candidates.filter((_, index) => counts[index] === fewest);
    return { server: equal[random.below(equal.length)]! };
  }
}
