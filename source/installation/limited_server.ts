import { DecayedCounter } from "../admission/decayed_counter.ts";
import {
  type RequestShare,
  shareRequests,
  toUsableRate,
} from "../decisions/request_share.ts";

/** Half-life of the measurement of a node's own request rate. */
const RATE_HALF_LIFE_MILLISECONDS = 1000;
/** Time in which the requests that wait for the server should be sent. */
const NEED_MILLISECONDS = 1000;
/** Time after its last request for which a node counts as active. */
const ACTIVITY_MILLISECONDS = 10_000;
/** Time for which a busy node saves up its rate while it is not scheduled. */
const BURST_SECONDS = 0.05;

/** The other nodes, as far as they matter for the share of a limit. */
export interface OtherUse {
  /** Requests a second that each other active node needs. */
  readonly demands: ReadonlyArray<number>;
  /** Number of nodes that may send requests, this one included. */
  readonly nodes: number;
  /** Position of this node among them, from 0; differs from server to server. */
  readonly rank: number;
}

/** This node's use of one start of a server that has named a limit; times are monotonic milliseconds. */
export class LimitedServer {
  /** Start of the server, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  /** Requests a second that the server accepts from all nodes together. */
  requestsPerSecond: number;
  /** Time of the last answer to this node that named the limit; undefined if only others got one. */
  answeredAt: number | undefined;
  readonly #rate = new DecayedCounter(RATE_HALF_LIFE_MILLISECONDS);
  #other: OtherUse;
  /**
   * Number of requests that may be sent now, limited at each refill; negative after requests that
   * could not wait.
   */
  #saved = Infinity;
  #refilledAt: number;
  /** Time since which the node has been active; undefined while it is not. */
  #activeSince: number | undefined;
  #activeAt = -Infinity;
  #isKnown = false;
  /** Number of requests that waited at `#neededAt`. */
  #needed = 0;
  #neededAt = -Infinity;
  /** Time since which some request has always waited. */
  #neededSince = -Infinity;
  #isNeedKnown = false;
  /** Time of the last read of the other nodes' heartbeats. */
  #updatedAt = -Infinity;
  /** Time since which their heartbeats are read without an outage. */
  #connectedSince: number;
  #noticeMilliseconds = 0;
  /** Number of requests sent since `#loggedAt`. */
  #sent = 0;
  #loggedAt: number;

  /**
   * @param server - The start of the server and its limit.
   * @param other - The other nodes' use.
   * @param now - Monotonic time, in milliseconds.
   */
  constructor(
    server: { readonly startedAt: number; readonly requestsPerSecond: number },
    other: OtherUse,
    now: number,
  ) {
    this.startedAt = server.startedAt;
    this.requestsPerSecond = server.requestsPerSecond;
    this.#other = other;
    this.#refilledAt = now;
    this.#loggedAt = now;
    this.#connectedSince = now;
  }

  /**
   * Updates the other nodes' use after a read of their heartbeats.
   * @param other - The other nodes' use.
   * @param now - Time of the read.
   * @param noticeMilliseconds - Time in which the other nodes learn that this node is active.
   */
  update(other: OtherUse, now: number, noticeMilliseconds: number): void {
    this.#refill(now);
    this.#other = other;
    this.#noticeMilliseconds = noticeMilliseconds;
    // After an outage of the store, the nodes have to learn of each other again.
    if (now - this.#updatedAt > noticeMilliseconds) this.#connectedSince = now;
    this.#updatedAt = now;
    if (!this.isActive(now)) this.#activeSince = undefined;
    this.#isKnown = this.#activeSince !== undefined &&
      this.#isNoticed(this.#activeSince, now);
    this.#isNeedKnown = now - this.#neededAt < NEED_MILLISECONDS &&
      this.#isNoticed(this.#neededSince, now);
  }

  /** Whether this node sent a request recently or needs to. */
  isActive(now: number): boolean {
    return now - this.#activeAt < ACTIVITY_MILLISECONDS;
  }

  /** Returns the requests a second that this node needs, up to the limit. */
  getDemand(now: number): number {
    const needed = now - this.#neededAt < NEED_MILLISECONDS ? this.#needed : 0;
    return Math.min(
      toUsableRate(this.requestsPerSecond),
      this.#rate.perSecond(now) + 1000 * needed / NEED_MILLISECONDS,
    );
  }

  /** Returns the expected time until this node may send one more request; 0 when it may now. */
  getWait(now: number): number {
    const { requestsPerSecond } = this.#refill(now);
    const missing = 1 - this.#saved;
    if (missing <= 0) return 0;
    const wait = 1000 * missing / requestsPerSecond;
    if (this.#isKnown) return Math.ceil(wait);
    // The share grows once the other nodes know that this one is active.
    const noticeLeft = this.#noticeMilliseconds -
      (now - (this.#activeSince ?? now));
    const grown = this.#computeShare(now, true).requestsPerSecond;
    const grownWait = Math.max(0, noticeLeft) + 1000 * missing / grown;
    return Math.ceil(Math.min(wait, grownWait));
  }

  /** Returns the requests a second that this node may send at present. */
  getShare(now: number): number {
    return this.#refill(now).requestsPerSecond;
  }

  /** Records that requests wait for the server, so that this node asks for a larger share. */
  recordNeed(requests: number, now: number): void {
    this.#refill(now);
    if (now - this.#neededAt >= NEED_MILLISECONDS) this.#neededSince = now;
    this.#needed = requests;
    this.#neededAt = now;
    this.#recordActivity(now);
  }

  /** Records a request that is sent, whether or not it had to wait. */
  recordRequest(now: number): void {
    this.#refill(now);
    this.#saved -= 1;
    this.#sent += 1;
    this.#rate.add(1, now);
    this.#recordActivity(now);
  }

  /**
   * Returns the requests sent since the last call that returned them.
   * @returns The number and the time since then; undefined before the interval has passed.
   */
  takeUse(
    now: number,
    intervalMilliseconds: number,
  ): { readonly sent: number; readonly milliseconds: number } | undefined {
    const milliseconds = Math.round(now - this.#loggedAt);
    if (milliseconds < intervalMilliseconds) return undefined;
    const sent = this.#sent;
    this.#sent = 0;
    this.#loggedAt = now;
    return { sent, milliseconds };
  }

  #isNoticed(since: number, now: number): boolean {
    return now - Math.max(since, this.#connectedSince) >=
      this.#noticeMilliseconds;
  }

  #recordActivity(now: number): void {
    this.#activeSince ??= now;
    this.#activeAt = now;
  }

  #computeShare(now: number, isKnown: boolean): RequestShare {
    return shareRequests({
      limit: this.requestsPerSecond,
      otherDemands: this.#other.demands,
      nodes: this.#other.nodes,
      rank: this.#other.rank,
      isKnown,
      isNeedKnown: this.#isNeedKnown,
      ownRate: this.#rate.perSecond(now),
    });
  }

  #refill(now: number): RequestShare {
    const share = this.#computeShare(now, this.#isKnown);
    const { requestsPerSecond, maximumSaved } = share;
    const isBusy = now - this.#neededAt < NEED_MILLISECONDS;
    const maximum = isBusy
      ? 1 + BURST_SECONDS * requestsPerSecond
      : maximumSaved;
    const earned = requestsPerSecond * (now - this.#refilledAt) / 1000;
    this.#saved = Math.min(this.#saved + earned, maximum);
    this.#refilledAt = now;
    return share;
  }
}
