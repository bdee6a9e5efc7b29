import type { BackendServerState } from "../backends/backend_server_state.ts";
import { pickCandidates } from "./candidates.ts";
import { FinishEstimator } from "./finish_estimator.ts";
import type {
  Placement,
  RoutingChoice,
  RoutingKnowledge,
  RoutingPolicy,
} from "./routing_policy.ts";

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
    const choices = few.map((server) => ({
      server,
      expectedMilliseconds: estimator.finishMilliseconds(server),
      cost: estimator.costMilliseconds(server),
    }));
    return choices.reduce((best, choice) =>
      isBetter(choice, best, knowledge.failureDomain) ? choice : best
    );
  }
}

interface CostedChoice extends RoutingChoice {
  readonly cost: number;
}

function isBetter(
  choice: CostedChoice,
  best: CostedChoice,
  failureDomain: string,
): boolean {
  if (choice.cost !== best.cost) return choice.cost < best.cost;
  return choice.server.failureDomain === failureDomain &&
    best.server.failureDomain !== failureDomain;
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
