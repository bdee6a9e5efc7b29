import { LoadForecast } from "../../source/control/load_forecast.ts";
import {
  type PlannedServer,
  planOrders,
} from "../../source/control/plan_orders.ts";
import type {
  ServerPlacement,
  SpendPolicy,
} from "../../source/control/spend_planner.ts";
import {
  FAILURE_DOMAINS,
  type MarketStep,
  MICROS_PER_HOUR,
  STEP_SECONDS,
} from "./spend_market.ts";

const SLOTS_PER_SERVER = 4;
const MINIMUM_SERVERS = 2;
const MAXIMUM_SERVERS = 40;
const START_STEPS = 6;
const SURPLUS_STEPS = 6;
const UNAVAILABLE_STEPS = 3;
const FORECAST = { aheadMilliseconds: 60_000, memoryMilliseconds: 300_000 };

/** Cost and service level of one policy. */
export interface SpendResult {
  /** Mean cost per hour, in hourly prices of a steady server. */
  readonly costPerHour: number;
  /** Share of the requests for which a server was free. */
  readonly metShare: number;
  /** Share of the time in which the servers were too few for the load. */
  readonly shortTimeShare: number;
  /** Share of the served work that ran on cheap servers. */
  readonly cheapShare: number;
  /** Number of servers that were reclaimed. */
  readonly reclaimed: number;
}

interface RunningServer extends PlannedServer {
  /** Number of the step from which the server serves requests. */
  readonly readyAt: number;
}

/** Simulates one policy on a generated market, with the planner that nodes use. */
export class SpendSimulation {
  readonly #policy: SpendPolicy;
  readonly #forecast = new LoadForecast(FORECAST);
  readonly #unavailableUntil = new Map<string, number>();
  #servers: RunningServer[] = [];
  #surplusSteps = 0;
  #started = 0;
  #cost = 0;
  #load = 0;
  #met = 0;
  #metOnCheap = 0;
  #shortSteps = 0;
  #reclaimed = 0;

  /** @param policy - Policy to simulate. */
  constructor(policy: SpendPolicy) {
    this.#policy = policy;
  }

  /** Simulates all steps. */
  run(steps: ReadonlyArray<MarketStep>): SpendResult {
    steps.forEach((step, number) => {
      this.#reclaim(step);
      this.#serve(step, number);
      this.#forecast.add(number * STEP_SECONDS * 1000, step.load);
      if (step.acceptsOrders) this.#order(step, number);
    });
    const hours = (steps.length * STEP_SECONDS) / 3600;
    return {
      costPerHour: this.#cost / hours / MICROS_PER_HOUR.steady,
      metShare: this.#met / this.#load,
      shortTimeShare: this.#shortSteps / steps.length,
      cheapShare: this.#metOnCheap / this.#met,
      reclaimed: this.#reclaimed,
    };
  }

  #reclaim(step: MarketStep): void {
    const remaining = this.#servers.filter((server) =>
      server.tier !== "cheap" || !step.reclaimed.includes(server.failureDomain)
    );
    this.#reclaimed += this.#servers.length - remaining.length;
    this.#servers = remaining;
  }

  #serve(step: MarketStep, number: number): void {
    const ready = this.#servers.filter((server) => server.readyAt <= number);
    const capacity = ready.length * SLOTS_PER_SERVER;
    const cheap = ready.filter((server) => server.tier === "cheap").length;
    const met = Math.min(step.load, capacity);
    this.#load += step.load;
    this.#met += met;
    this.#metOnCheap += ready.length === 0 ? 0 : (met * cheap) / ready.length;
    if (step.load > capacity) this.#shortSteps += 1;
    for (const { tier } of this.#servers) {
      this.#cost += (MICROS_PER_HOUR[tier] * STEP_SECONDS) / 3600;
    }
  }

  #order(step: MarketStep, number: number): void {
    const predicted = this.#forecast.predict(number * STEP_SECONDS * 1000);
    const neededServers = Math.max(
      MINIMUM_SERVERS,
      Math.ceil(predicted / SLOTS_PER_SERVER),
    );
    const bounds = {
      maximumServers: MAXIMUM_SERVERS,
      microsPerHour: MICROS_PER_HOUR,
      boundMicrosPerHour: 0,
    };
    const { wanted } = this.#policy({
      ...bounds,
      failureDomains: FAILURE_DOMAINS,
      minimumServers: MINIMUM_SERVERS,
      neededServers,
      isAvailable: (placement) =>
        (this.#unavailableUntil.get(getPlacementName(placement)) ?? 0) <=
          number,
    });
    const servers = this.#servers.map((server) => ({
      ...server,
      address: server.readyAt <= number ? server.address : "",
    }));
    const { start, stop } = planOrders({
      ...bounds,
      wanted,
      servers,
      neededServers,
    });
    for (const placement of start) this.#start(placement, step, number);
    this.#surplusSteps = stop.length > 0 ? this.#surplusSteps + 1 : 0;
    if (this.#surplusSteps < SURPLUS_STEPS) return;
    this.#servers = this.#servers.filter(({ address }) =>
      !stop.includes(address)
    );
  }

  #start(placement: ServerPlacement, step: MarketStep, number: number): void {
    const isAvailable = placement.tier === "steady" ||
      step.cheapDomains.includes(placement.failureDomain);
    if (!isAvailable) {
      this.#unavailableUntil.set(
        getPlacementName(placement),
        number + UNAVAILABLE_STEPS,
      );
      return;
    }
    this.#started += 1;
    const address = `server-${String(this.#started).padStart(8, "0")}`;
    const readyAt = number + START_STEPS;
    this.#servers.push({ ...placement, address, leaving: false, readyAt });
  }
}

function getPlacementName(placement: ServerPlacement): string {
  return `${placement.failureDomain}/${placement.tier}`;
}
