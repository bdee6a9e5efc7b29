import { DecayedCounter } from "./decayed_counter.ts";

const SERVICE_HALF_LIFE_MILLISECONDS = 10_000;
const DEMAND_HALF_LIFE_MILLISECONDS = 1000;

/** Half-life of the tokens or calls that an organisation received, in milliseconds. */
export const RECEIVED_HALF_LIFE_MILLISECONDS = SERVICE_HALF_LIFE_MILLISECONDS;

/** Use of one service by one organisation through this node. */
export class OrganisationUse {
  /** Tokens or calls received; older ones count less. */
  readonly received = new DecayedCounter(SERVICE_HALF_LIFE_MILLISECONDS);
  /** Requests received, refused ones included. */
  readonly demand = new DecayedCounter(DEMAND_HALF_LIFE_MILLISECONDS);
  /** Expected tokens of the requests received, refused ones included. */
  readonly tokenDemand = new DecayedCounter(DEMAND_HALF_LIFE_MILLISECONDS);
  /** Number of requests waiting for a slot. */
  waiting = 0;
  /** Number of requests running. */
  running = 0;

  /** Returns the number of requests that run or wait. */
  get concurrent(): number {
    return this.waiting + this.running;
  }

  /** Returns whether the use is too small to be retained. */
  isIdle(now: number): boolean {
    return this.concurrent === 0 && this.received.value(now) < 1 &&
      this.demand.perSecond(now) < 0.01;
  }
}
