import type { BackendServerState } from "../backends/backend_server_state.ts";
import { pickCandidates } from "./candidates.ts";
import { FinishEstimator } from "./finish_estimator.ts";
import type {
  RoutingChoice,
  RoutingKnowledge,
  RoutingPolicy,
} from "./routing_policy.ts";
import type { Placement } from "./placement.ts";

const EQUAL_COST_SHARE = 0.05;

/** Takes the server on which the work is expected to be finished first. */
export class ExpectedFinish implements RoutingPolicy {
  /** Chooses a server; equal ones in this node's failure domain first. */
  choose(
    candidates: ReadonlyArray<BackendServerState>,
    placement: Placement,
    knowledge: RoutingKnowledge,
  ): RoutingChoice {
    learnSlots(candidates, placement, knowledge);
    const sound = withoutFailing(candidates, knowledge);
    const estimator = new FinishEstimator(sound, placement, knowledge);
    const few = pickCandidates(sound, {
      placement,
      random: knowledge.random,
      loadOf: (server) => estimator.load(server).mean,
    });
    const costs = few.map((server) => estimator.costMilliseconds(server));
    const limit = Math.min(...costs) * (1 + EQUAL_COST_SHARE);
    const equal = few.filter((_, index) => costs[index]! <= limit);
    const server = pickLeastLoaded(equal, knowledge);
    const expectedMilliseconds = estimator.finishMilliseconds(server);
    return { server, expectedMilliseconds };
  }
}

// Own requests alone decide, since all nodes have the same reports; of equal servers those
// in this node's failure domain come first, then chance.
function pickLeastLoaded(
  servers: ReadonlyArray<BackendServerState>,
  { experience, failureDomain, random }: RoutingKnowledge,
): BackendServerState {
  const counts = servers.map(({ address }) => experience.running(address));
  const least = Math.min(...counts);
  const equal = servers.filter((_, index) => counts[index] === least);
  const near = equal.filter((server) => server.failureDomain === failureDomain);
  const preferred = near.length > 0 ? near : equal;
  return preferred[random.below(preferred.length)]!;
}

function learnSlots(
  servers: ReadonlyArray<BackendServerState>,
  { service }: Placement,
  { experience }: RoutingKnowledge,
): void {
  for (const { address, running, waiting } of servers) {
    experience.server(address).noteLoad(running, waiting);
    experience.service(service).noteRunning(running);
  }
}

function withoutFailing(
  servers: ReadonlyArray<BackendServerState>,
  { experience, now }: RoutingKnowledge,
): ReadonlyArray<BackendServerState> {
  const sound = servers.filter(({ address }) =>
    !experience.server(address).isFailing(now)
  );
  return sound.length > 0 ? sound : servers;
}
