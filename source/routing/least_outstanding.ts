import type { BackendServerState } from "../backends/backend_server_state.ts";
import type {
  RoutingChoice,
  RoutingInputs,
  RoutingPolicy,
} from "./routing_policy.ts";
import type { Placement } from "./placement.ts";

/** Baseline policy that chooses the server with the fewest running requests of this node. */
export class LeastOutstanding implements RoutingPolicy {
  /** Chooses a server; at random among those with equally few running requests. */
  choose(
    candidates: ReadonlyArray<BackendServerState>,
    _placement: Placement,
    inputs: RoutingInputs,
  ): RoutingChoice {
    const { statistics, random } = inputs;
    const counts = candidates.map((server) =>
      statistics.running(server.address)
    );
    const fewest = Math.min(...counts);
    const equal = candidates.filter((_, index) => counts[index] === fewest);
    return { server: equal[random.nextBelow(equal.length)]! };
  }
}
