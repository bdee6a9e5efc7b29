import { DecayedCounter } from "./decayed_counter.ts";

const SERVICE_HALF_LIFE_MILLISECONDS = 10_000;
const DEMAND_HALF_LIFE_MILLISECONDS = 1000;

/** Half-life of the weight of received service, in milliseconds. */
export const RECEIVED_HALF_LIFE_MILLISECONDS = SERVICE_HALF_LIFE_MILLISECONDS;

/** What one organisation uses of one service through this node. */
export class OrganisationUse {
  /** Tokens or calls received, newer ones weighing more. */
  readonly received = new DecayedCounter(SERVICE_HALF_LIFE_MILLISECONDS);
  /** Requests that asked, refused ones included. */
  readonly demand = new DecayedCounter(DEMAND_HALF_LIFE_MILLISECONDS);
  /** Tokens that were asked for, by refused requests too. */
  readonly tokenDemand = new DecayedCounter(DEMAND_HALF_LIFE_MILLISECONDS);
  /** Requests waiting for a slot. */
  waiting = 0;
  /** Requests running. */
  running = 0;

  /** Returns the requests that run or wait. */
  get concurrent(): number {
    return this.waiting + this.running;
  }

  /** Returns whether nothing worth telling is left. */
  isIdle(now: number): boolean {
    return this.concurrent === 0 && this.received.value(now) < 1 &&
      this.demand.perSecond(now) < 0.01;
  }
}
