import {
  BURST_SECONDS,
  type DemandLevel,
  type RequestShare,
} from "../decisions/request_share.ts";

/** Time after a request last waited for which the server counts as in demand. */
const NEED_MILLISECONDS = 1000;
/** Time after the end of a warm-up in which the rate rises in steps. */
export const RECOVERY_MILLISECONDS = 1000;

/** This node's use of a server in warm-up; times are monotonic milliseconds. */
export class WarmingServer {
  readonly identifier: string;
  readonly service: string;
  readonly requestsPerSecond: number;
  /** End of the warm-up; the rate rises in steps for some time after it. */
  endsAt: number;
  /** The last share that was computed, and what it was computed from. */
  used: {
    /** The other nodes' demand; compared by identity. */
    readonly news: unknown;
    readonly isInContact: boolean;
    readonly demand: DemandLevel | undefined;
    readonly share: RequestShare;
  } | undefined;
  /** The share that the node is expected to get when the others know of its present need. */
  expected:
    | { readonly news: unknown; readonly share: RequestShare }
    | undefined;
  /** Places of nodes for this server. */
  readonly #orders = new Map<string, number>();
  /** Number of requests that may be sent now; negative after requests that could not wait. */
  #saved = 0;
  #refilledAt: number;
  #neededAt = -Infinity;
  #waiting = 0;
  #sent = 0;

  /**
   * @param warmUp - The server's service, its rate in warm-up and the end of the warm-up.
   * @param now - Present time.
   */
  constructor(
    warmUp: {
      readonly identifier: string;
      readonly service: string;
      readonly requestsPerSecond: number;
      readonly endsAt: number;
    },
    now: number,
  ) {
    this.identifier = warmUp.identifier;
    this.service = warmUp.service;
    this.requestsPerSecond = warmUp.requestsPerSecond;
    this.endsAt = warmUp.endsAt;
    this.#refilledAt = now;
  }

  /**
   * Returns the place of a node for this server. It is a hash, so that other nodes go first at each
   * server and a node that joins or leaves does not change the order of the rest.
   */
  getOrder(node: string): number {
    let order = this.#orders.get(node);
    if (order === undefined) {
      order = toHash(`${this.identifier}/${node}`);
      this.#orders.set(node, order);
    }
    return order;
  }

  /** Number of requests that this node sent during the warm-up. */
  get sent(): number {
    return this.#sent;
  }

  /** Returns the number of requests that waited for the server within the last second. */
  getWaiting(now: number): number {
    return this.#isInDemand(now) ? this.#waiting : 0;
  }

  /** Sets the part of a request that the node may send at the start of the warm-up. */
  begin(saved: number): void {
    this.#saved = saved;
  }

  /** Adds what the node may send by its share since the last call. */
  refill({ requestsPerSecond, maximumSaved }: RequestShare, now: number): void {
    const burst = this.#isInDemand(now) ? BURST_SECONDS * requestsPerSecond : 0;
    const maximum = maximumSaved === 0 ? 0 : maximumSaved + burst;
    const earned = requestsPerSecond * (now - this.#refilledAt) / 1000;
    this.#saved = Math.min(this.#saved + earned, maximum);
    this.#refilledAt = now;
  }

  /**
   * Returns the time until the node may send one more request, after a refill.
   * @param share - The node's share.
   * @returns The time; 0 when it may now, and Infinity while it has no share.
   */
  getWait({ requestsPerSecond }: RequestShare): number {
    const missing = 1 - this.#saved;
    if (missing <= 0) return 0;
    return requestsPerSecond === 0
      ? Infinity
      : 1000 * missing / requestsPerSecond;
  }

  /** Records that requests wait for the server. */
  recordNeed(requests: number, now: number): void {
    this.#waiting = requests;
    this.#neededAt = now;
  }

  /**
   * Records a request that is sent, after a refill.
   * @returns Whether requests waited for the server shortly before.
   */
  recordRequest(now: number): boolean {
    this.#saved -= 1;
    this.#sent += 1;
    return this.#isInDemand(now);
  }

  #isInDemand(now: number): boolean {
    return now - this.#neededAt < NEED_MILLISECONDS;
  }
}

function toHash(text: string): number {
  let hash = 0x811c9dc5;
  for (const character of text) {
    hash = Math.imul(hash ^ (character.codePointAt(0) ?? 0), 0x01000193);
  }
  hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
  hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
  return (hash ^ hash >>> 16) >>> 0;
}
