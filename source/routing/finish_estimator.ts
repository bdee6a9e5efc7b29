import type { BackendServerState } from "../backends/backend_server_state.ts";
import { expectedExcess } from "./expected_excess.ts";
import { estimateLoads, type LoadEstimate } from "./load_estimate.ts";
import type { RoutingKnowledge } from "./routing_policy.ts";
import type { Placement } from "./placement.ts";
import type { ServerRecord } from "./server_record.ts";
import type { ServiceRecord } from "./service_record.ts";

const MILLISECONDS_PER_SECOND = 1_000;
const HIGHEST_UTILISATION = 0.9;

/** Estimates when work would be finished on each of some like servers. */
export class FinishEstimator {
  readonly #placement: Placement;
  readonly #knowledge: RoutingKnowledge;
  readonly #service: ServiceRecord;
  readonly #loads: ReadonlyMap<string, LoadEstimate>;
  readonly #utilisation: number;

  /**
   * @param servers - All servers that are compared.
   * @param placement - The work.
   * @param knowledge - What this node knows.
   */
  constructor(
    servers: ReadonlyArray<BackendServerState>,
    placement: Placement,
    knowledge: RoutingKnowledge,
  ) {
    this.#placement = placement;
    this.#knowledge = knowledge;
    this.#service = knowledge.experience.service(placement.service);
    const reported = servers.map((server) => ({
      server,
      record: this.#record(server),
      serviceMilliseconds: this.#serviceMilliseconds(server),
    }));
    this.#loads = estimateLoads(reported, knowledge.now);
    this.#utilisation = this.#meanUtilisation(servers);
  }

  /** Estimated load of a server. */
  load(server: BackendServerState): LoadEstimate {
    return this.#loads.get(server.address) ?? { mean: 0, deviation: 0 };
  }

  /** Time until the work is expected to be finished. */
  finishMilliseconds(server: BackendServerState): number {
    return this.#withFailures(
      server,
      this.#waitMilliseconds(server) + this.#runMilliseconds(server),
    );
  }

  /**
   * Time until the work is expected to be finished, and the time by which it delays what
   * comes after it: each request that queues lengthens the queue for all that arrive
   * until it has emptied.
   */
  costMilliseconds(server: BackendServerState): number {
    const delay = this.#waitMilliseconds(server) / (1 - this.#utilisation);
    return this.#withFailures(server, delay + this.#runMilliseconds(server));
  }

  #withFailures(server: BackendServerState, milliseconds: number): number {
    const share = this.#record(server).failureShare(this.#knowledge.now);
    return milliseconds / (1 - share);
  }

  #waitMilliseconds(server: BackendServerState): number {
    const { mean, deviation } = this.load(server);
    const slots = this.#slots(server);
    const ahead = expectedExcess(mean + 1 - slots, deviation);
    return ahead * this.#serviceMilliseconds(server) / slots;
  }

  #runMilliseconds(server: BackendServerState): number {
    const { maximumTokens, promptTokens, prefixDigests } = this.#placement;
    if (maximumTokens === 0) return this.#serviceMilliseconds(server);
    const { experience, now } = this.#knowledge;
    const { address } = server;
    const cached = experience.caches.cachedTokens(address, prefixDigests);
    const reading = Math.max(0, promptTokens - cached) *
      this.#service.promptTokenMilliseconds();
    const tokens = this.#service.expectedTokens(maximumTokens, now);
    const head = this.#record(server).headMilliseconds(now) ?? 0;
    return head + reading + tokens * this.#tokenMilliseconds(server);
  }

  #serviceMilliseconds(server: BackendServerState): number {
    const { maximumTokens } = this.#placement;
    const { now } = this.#knowledge;
    if (maximumTokens === 0) {
      return this.#record(server).callMilliseconds(now) ??
        this.#service.callMilliseconds(now) ?? 1;
    }
    const tokens = this.#service.meanTokens(now) ?? maximumTokens;
    return tokens * this.#tokenMilliseconds(server);
  }

  #tokenMilliseconds(server: BackendServerState): number {
    const { now } = this.#knowledge;
    const learned = this.#record(server).tokenMilliseconds(now) ??
      this.#service.tokenMilliseconds(now);
    if (learned !== undefined) return learned;
    if (server.tokensPerSecond === 0) return 1;
    return MILLISECONDS_PER_SECOND / server.tokensPerSecond;
  }

  #slots(server: BackendServerState): number {
    return this.#record(server).slots ?? this.#service.mostRunning;
  }

  #meanUtilisation(servers: ReadonlyArray<BackendServerState>): number {
    let load = 0;
    let slots = 0;
    for (const server of servers) {
      load += this.load(server).mean;
      slots += this.#slots(server);
    }
    return slots === 0 ? 0 : Math.min(HIGHEST_UTILISATION, load / slots);
  }

  #record({ address }: BackendServerState): ServerRecord {
    return this.#knowledge.experience.server(address);
  }
}
