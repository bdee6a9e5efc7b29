import type { BackendServerState } from "../backends/backend_server_state.ts";
import { expectedExcess } from "./expected_excess.ts";
import { estimateLoads, type LoadEstimate } from "./load_estimate.ts";
import type { RoutingInputs } from "./routing_policy.ts";
import type { Placement } from "./placement.ts";
import type { ServerStatistics } from "./server_statistics.ts";
import type { ServiceStatistics } from "./service_statistics.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Upper limit of the utilisation, which keeps the divisor 1 - utilisation above 0. */
const HIGHEST_UTILISATION = 0.9;

/** Estimates how long work would take to finish on each server of a service. */
export class FinishEstimator {
  readonly #placement: Placement;
  readonly #inputs: RoutingInputs;
  readonly #serviceStatistics: ServiceStatistics;
  readonly #loads: ReadonlyMap<string, LoadEstimate>;
  readonly #utilisation: number;

  /**
   * @param servers - All servers to compare.
   * @param placement - Work to place.
   * @param inputs - Routing statistics and time.
   */
  constructor(
    servers: ReadonlyArray<BackendServerState>,
    placement: Placement,
    inputs: RoutingInputs,
  ) {
    this.#placement = placement;
    this.#inputs = inputs;
    this.#serviceStatistics = inputs.statistics.service(placement.service);
    const reported = servers.map((server) => ({
      server,
      statistics: this.#statisticsOf(server),
      serviceMilliseconds: this.#serviceMilliseconds(server),
    }));
    this.#loads = estimateLoads(reported, inputs.now);
    this.#utilisation = this.#meanUtilisation(servers);
  }

  /** Returns the estimated load of a server. */
  load(server: BackendServerState): LoadEstimate {
    return this.#loads.get(server.address) ?? { mean: 0, deviation: 0 };
  }

  /** Returns the expected time until the work is finished, in milliseconds. */
  finishMilliseconds(server: BackendServerState): number {
    return this.#includeFailures(
      server,
      this.#waitMilliseconds(server) + this.#runMilliseconds(server),
    );
  }

  /**
   * Returns the expected time until the work is finished plus the time by which the work delays
   * later work, in milliseconds: a request that queues lengthens the queue for all requests that
   * arrive until the queue is empty.
   */
  costMilliseconds(server: BackendServerState): number {
    const delay = this.#waitMilliseconds(server) / (1 - this.#utilisation);
    return this.#includeFailures(server, delay + this.#runMilliseconds(server));
  }

  #includeFailures(server: BackendServerState, milliseconds: number): number {
    const share = this.#statisticsOf(server).failureShare(this.#inputs.now);
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
    const { statistics, now } = this.#inputs;
    const { address } = server;
    const cached = statistics.caches.cachedTokens(address, prefixDigests);
    const promptMilliseconds = Math.max(0, promptTokens - cached) *
      this.#serviceStatistics.promptTokenMilliseconds();
    const tokens = this.#serviceStatistics.expectedTokens(maximumTokens, now);
    const head = this.#statisticsOf(server).headMilliseconds(now) ?? 0;
    return head + promptMilliseconds + tokens * this.#tokenMilliseconds(server);
  }

  #serviceMilliseconds(server: BackendServerState): number {
    const { maximumTokens } = this.#placement;
    const { now } = this.#inputs;
    if (maximumTokens === 0) {
      return this.#statisticsOf(server).callMilliseconds(now) ??
        this.#serviceStatistics.callMilliseconds(now) ?? 1;
    }
    const tokens = this.#serviceStatistics.meanTokens(now) ?? maximumTokens;
    return tokens * this.#tokenMilliseconds(server);
  }

  #tokenMilliseconds(server: BackendServerState): number {
    const { now } = this.#inputs;
    const measured = this.#statisticsOf(server).tokenMilliseconds(now) ??
      this.#serviceStatistics.tokenMilliseconds(now);
    if (measured !== undefined) return measured;
    if (server.tokensPerSecond === 0) return 1;
    return MILLISECONDS_PER_SECOND / server.tokensPerSecond;
  }

  #slots(server: BackendServerState): number {
    return this.#statisticsOf(server).slots ??
      this.#serviceStatistics.mostRunning;
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

  #statisticsOf({ address }: BackendServerState): ServerStatistics {
    return this.#inputs.statistics.server(address);
  }
}
