import type { BackendServerState } from "../backends/backend_server_state.ts";
import { pickCandidates } from "./candidates.ts";
import { expectedExcess } from "./expected_excess.ts";
import { estimateLoad, type LoadEstimate } from "./load_estimate.ts";
import type {
  Placement,
  RoutingChoice,
  RoutingKnowledge,
  RoutingPolicy,
} from "./routing_policy.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Takes the server on which the work is expected to be finished first. */
export class ExpectedFinish implements RoutingPolicy {
  /** Chooses a server; equal ones in this node's failure domain first. */
  choose(
    candidates: ReadonlyArray<BackendServerState>,
    placement: Placement,
    knowledge: RoutingKnowledge,
  ): RoutingChoice {
    learnSlots(candidates, knowledge);
    const sound = withoutFailing(candidates, knowledge);
    const few = pickCandidates(sound, {
      placement,
      random: knowledge.random,
      loadOf: (server) => loadOf(server, placement, knowledge).mean,
    });
    const choices = few.map((server) => ({
      server,
      expectedMilliseconds: finishMilliseconds(server, placement, knowledge),
    }));
    return choices.reduce((best, choice) =>
      isBetter(choice, best, knowledge.failureDomain) ? choice : best
    );
  }
}

function isBetter(
  choice: Required<RoutingChoice>,
  best: Required<RoutingChoice>,
  failureDomain: string,
): boolean {
  if (choice.expectedMilliseconds !== best.expectedMilliseconds) {
    return choice.expectedMilliseconds < best.expectedMilliseconds;
  }
  return choice.server.failureDomain === failureDomain &&
    best.server.failureDomain !== failureDomain;
}

function learnSlots(
  servers: ReadonlyArray<BackendServerState>,
  { experience }: RoutingKnowledge,
): void {
  for (const { address, running, waiting } of servers) {
    experience.server(address).noteLoad(running, waiting);
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

function finishMilliseconds(
  server: BackendServerState,
  placement: Placement,
  knowledge: RoutingKnowledge,
): number {
  const { experience, now } = knowledge;
  const record = experience.server(server.address);
  const own = placement.maximumTokens === 0
    ? callMilliseconds(server, placement, knowledge)
    : completionMilliseconds(server, placement, knowledge);
  const failing = record.failureShare(now);
  const again = own * failing / (1 - failing);
  return own + again;
}

function callMilliseconds(
  server: BackendServerState,
  placement: Placement,
  knowledge: RoutingKnowledge,
): number {
  const service = serviceMilliseconds(server, placement, knowledge);
  return service * (1 + loadOf(server, placement, knowledge).mean);
}

function completionMilliseconds(
  server: BackendServerState,
  placement: Placement,
  knowledge: RoutingKnowledge,
): number {
  const { experience, now } = knowledge;
  const service = experience.service(placement.service);
  const record = experience.server(server.address);
  const { address } = server;
  const cached = experience.caches.cachedTokens(
    address,
    placement.prefixDigests,
  );
  const uncached = Math.max(0, placement.promptTokens - cached);
  const reading = uncached * service.promptTokenMilliseconds();
  const tokens = service.expectedTokens(placement.maximumTokens, now);
  const generating = tokens * tokenMilliseconds(server, placement, knowledge);
  const head = record.headMilliseconds(now) ?? 0;
  return head + waitMilliseconds(server, placement, knowledge) + reading +
    generating;
}

function waitMilliseconds(
  server: BackendServerState,
  placement: Placement,
  knowledge: RoutingKnowledge,
): number {
  const { slots } = knowledge.experience.server(server.address);
  if (slots === undefined) return 0;
  const { mean, deviation } = loadOf(server, placement, knowledge);
  const ahead = expectedExcess(mean + 1 - slots, deviation);
  return ahead * serviceMilliseconds(server, placement, knowledge) / slots;
}

function loadOf(
  server: BackendServerState,
  placement: Placement,
  knowledge: RoutingKnowledge,
): LoadEstimate {
  return estimateLoad(server, {
    record: knowledge.experience.server(server.address),
    now: knowledge.now,
    serviceMilliseconds: serviceMilliseconds(server, placement, knowledge),
  });
}

function serviceMilliseconds(
  server: BackendServerState,
  placement: Placement,
  knowledge: RoutingKnowledge,
): number {
  const { experience, now } = knowledge;
  const service = experience.service(placement.service);
  if (placement.maximumTokens === 0) {
    const own = experience.server(server.address).callMilliseconds(now);
    return own ?? service.callMilliseconds(now) ?? 1;
  }
  const tokens = service.meanTokens(now) ?? placement.maximumTokens;
  return tokens * tokenMilliseconds(server, placement, knowledge);
}

function tokenMilliseconds(
  server: BackendServerState,
  placement: Placement,
  { experience, now }: RoutingKnowledge,
): number {
  const own = experience.server(server.address).tokenMilliseconds(now);
  if (own !== undefined) return own;
  const others = experience.service(placement.service).tokenMilliseconds(now);
  if (others !== undefined) return others;
  if (server.tokensPerSecond === 0) return 1;
  return MILLISECONDS_PER_SECOND / server.tokensPerSecond;
}
