import type { BackendServerState } from "../backends/backend_server_state.ts";
import { pickCandidates } from "./candidates.ts";
import { FinishEstimator } from "./finish_estimator.ts";
import type {
  RoutingChoice,
  RoutingInputs,
  RoutingPolicy,
} from "./routing_policy.ts";
import type { Placement } from "./placement.ts";

const EQUAL_COST_TOLERANCE = 0.05;

/**
 * Routing policy that chooses the server with the lowest expected cost: the time until the work is
 * finished plus the time by which the work delays later work.
 */
export class ExpectedFinish implements RoutingPolicy {
  /**
   * Chooses a server; among those within 5% of the lowest cost, prefers the ones with the fewest
   * running requests of this node, then the ones in this node's failure domain.
   */
  choose(
    candidates: ReadonlyArray<BackendServerState>,
    placement: Placement,
    inputs: RoutingInputs,
  ): RoutingChoice {
    recordLoads(candidates, placement, inputs);
    const healthy = excludeFailing(candidates, inputs);
    const estimator = new FinishEstimator(healthy, placement, inputs);
    const compared = pickCandidates(healthy, {
      placement,
      random: inputs.random,
      loadOf: (server) => estimator.load(server).mean,
    });
    const costs = compared.map((server) => estimator.costMilliseconds(server));
    const limit = Math.min(...costs) * (1 + EQUAL_COST_TOLERANCE);
    const equal = compared.filter((_, index) => costs[index]! <= limit);
    const server = pickLeastLoaded(equal, inputs);
    const expectedMilliseconds = estimator.finishMilliseconds(server);
    return { server, expectedMilliseconds };
  }
}

// Compares only this node's own requests: all nodes have the same load reports, and by them would
// all choose the same server. Among servers with equally few requests, prefers those in this node's
// failure domain, then chooses at random.
function pickLeastLoaded(
  servers: ReadonlyArray<BackendServerState>,
  { statistics, failureDomain, random }: RoutingInputs,
): BackendServerState {
  const counts = servers.map(({ address }) => statistics.running(address));
  const least = Math.min(...counts);
  const equal = servers.filter((_, index) => counts[index] === least);
  const local = equal.filter((server) =>
    server.failureDomain === failureDomain
  );
  const preferred = local.length > 0 ? local : equal;
  return preferred[random.nextBelow(preferred.length)]!;
}

function recordLoads(
  servers: ReadonlyArray<BackendServerState>,
  { service }: Placement,
  { statistics }: RoutingInputs,
): void {
  for (const { address, running, waiting } of servers) {
    statistics.server(address).recordLoad(running, waiting);
    statistics.service(service).recordRunning(running);
  }
}

function excludeFailing(
  servers: ReadonlyArray<BackendServerState>,
  { statistics, now }: RoutingInputs,
): ReadonlyArray<BackendServerState> {
  const healthy = servers.filter(({ address }) =>
    !statistics.server(address).isFailing(now)
  );
  return healthy.length > 0 ? healthy : servers;
}
