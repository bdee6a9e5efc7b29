import { DecayedCounter } from "./decayed_counter.ts";

const SERVICE_HALF_LIFE_MILLISECONDS = 10_000;
const DEMAND_HALF_LIFE_MILLISECONDS = 1000;
const DRAIN_HALF_LIFE_MILLISECONDS = 2000;
const LEAST_OBSERVED_MILLISECONDS = 500;
const LEAST_OBSERVED_STARTS = 2;

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
  readonly #started = new DecayedCounter(DRAIN_HALF_LIFE_MILLISECONDS);
  readonly #waitingTime = new DecayedCounter(DRAIN_HALF_LIFE_MILLISECONDS);
  #waitingNotedAt = 0;
  #waiting = 0;
  #running = 0;

  /** Returns the requests that wait for a slot. */
  get waiting(): number {
    return this.#waiting;
  }

  /** Returns the requests that run. */
  get running(): number {
    return this.#running;
  }

  /** Returns the requests that run or wait. */
  get concurrent(): number {
    return this.waiting + this.running;
  }

  /** Notes that a request began to wait. */
  noteWaiting(now: number): void {
    this.#noteWaitingTime(now);
    this.#waiting += 1;
  }

  /** Notes that a waiting request was given up. */
  noteGivenUp(now: number): void {
    this.#noteWaitingTime(now);
    this.#waiting -= 1;
  }

  /** Notes that a waiting request was started. */
  noteStarted(now: number): void {
    this.#noteWaitingTime(now);
    this.#started.add(1, now);
    this.#waiting -= 1;
    this.#running += 1;
  }

  /** Notes that a running request has ended. */
  noteEnded(): void {
    this.#running -= 1;
  }

  /** Returns how many requests a second were started of late while some waited; undefined when too few were. */
  startedPerSecond(now: number): number | undefined {
    this.#noteWaitingTime(now);
    const observed = this.#waitingTime.value(now);
    const started = this.#started.value(now);
    const isTooLittle = observed < LEAST_OBSERVED_MILLISECONDS ||
      started < LEAST_OBSERVED_STARTS;
    return isTooLittle ? undefined : started / observed * 1000;
  }

  #noteWaitingTime(now: number): void {
    if (this.#waiting > 0) {
      this.#waitingTime.add(now - this.#waitingNotedAt, now);
    }
    this.#waitingNotedAt = now;
  }

  /** Returns whether nothing worth telling is left. */
  isIdle(now: number): boolean {
    return this.concurrent === 0 && this.received.value(now) < 1 &&
      this.demand.perSecond(now) < 0.01;
  }
}
