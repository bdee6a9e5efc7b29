import { DecayedCounter } from "../admission/decayed_counter.ts";
import type { DemandLevel } from "../decisions/request_share.ts";

/** Time after its last request to a service for which a node has a demand. */
const ACTIVITY_MILLISECONDS = 10_000;
/** Rate of requests from which a demand is high. */
const HIGH_REQUESTS_PER_SECOND = 1;
const RATE_HALF_LIFE_MILLISECONDS = 4000;
/** Time after a request last waited for which requests count as waiting. */
const NEED_MILLISECONDS = 1000;
/**
 * Time for which requests have to wait until the demand is high. Each change of the demand of a node
 * costs other nodes a part of their share before that node may use it.
 */
const HIGH_NEED_MILLISECONDS = 4000;
/** Least time for which a demand stays high. */
const HIGH_MILLISECONDS = 5000;

/** A node's demand by service, as it publishes it. */
export type ServiceDemands = ReadonlyMap<string, DemandLevel>;

/** What a node knows of the demand of all nodes after a read of their heartbeats. */
export interface DemandNews {
  /**
   * Demand in this node's own last heartbeat that was read back, its heartbeat interval and the
   * monotonic time at which that read was sent; undefined before the first.
   */
  readonly own: {
    readonly demands: ServiceDemands;
    readonly heartbeatMilliseconds: number;
    readonly readAt: number;
  } | undefined;
  /** Demand of the other running nodes by their name. */
  readonly others: ReadonlyMap<string, ServiceDemands>;
  /** Names of the nodes that may send requests, this one included. */
  readonly nodes: ReadonlyArray<string>;
  /** Longest interval between two heartbeats of any running node. */
  readonly heartbeatMilliseconds: number;
}

const LEVELS: Readonly<Record<DemandLevel | "none", number>> = {
  none: 0,
  low: 1,
  high: 2,
};
type Level = keyof typeof LEVELS;

interface Claim {
  /** Monotonic time, in milliseconds, of the last request. */
  activeAt: number;
  /** Monotonic time, in milliseconds, at which a request last waited. */
  neededAt: number;
  /** Monotonic time, in milliseconds, since which requests have waited. */
  neededSince: number;
  /** Monotonic time, in milliseconds, until which the demand stays high. */
  highUntil: number;
  readonly rate: DecayedCounter;
  published: Level;
  /** What was read back from the store, and the monotonic times of the reads, oldest first. */
  confirmed: ReadonlyArray<{ readonly at: number; readonly level: Level }>;
}

/**
 * This node's demand for the servers of services with a warm-up, and the part of it that all other
 * nodes know. The demand is published all the time, as a warm-up is shorter than the time in which the
 * nodes learn of each other.
 */
export class DemandClaims {
  readonly #claims = new Map<string, Claim>();

  /** Records that a request is sent to a server of a service. */
  recordRequest(service: string, now: number): void {
    const claim = this.#claim(service);
    claim.activeAt = now;
    claim.rate.add(1, now);
  }

  /** Records that a request waits for a server of a service. */
  recordNeed(service: string, now: number): void {
    const claim = this.#claim(service);
    if (now - claim.neededAt >= NEED_MILLISECONDS) claim.neededSince = now;
    claim.activeAt = now;
    claim.neededAt = now;
  }

  /**
   * Returns the time until a demand rises above the known one if requests go on waiting, in
   * milliseconds; negative if it has risen.
   */
  getRiseDelay(
    service: string,
    { known, now }: {
      readonly known: DemandLevel | undefined;
      readonly now: number;
    },
  ): number {
    const claim = this.#claims.get(service);
    const age = claim === undefined || now - claim.neededAt >= NEED_MILLISECONDS
      ? 0
      : now - claim.neededSince;
    return (known === undefined ? 0 : HIGH_NEED_MILLISECONDS) - age;
  }

  /** Forgets what was read back, as the other nodes may have forgotten this node's demand. */
  restart(): void {
    for (const claim of this.#claims.values()) claim.confirmed = [];
  }

  /**
   * Returns the demand to publish. It falls at once and rises only after the last published one was
   * read back, so that what was read back says which of them the other nodes may have read.
   */
  publish(now: number): ServiceDemands {
    const demands = new Map<string, DemandLevel>();
    for (const [service, claim] of this.#claims) {
      const wanted = findWanted(claim, now);
      const last = claim.confirmed.at(-1)?.level ?? "none";
      const isRise = LEVELS[wanted] > LEVELS[claim.published];
      if (!isRise || last === claim.published) claim.published = wanted;
      if (claim.published !== "none") demands.set(service, claim.published);
    }
    return demands;
  }

  /** Records the demand that was read back from the store. */
  confirm(demands: ServiceDemands, now: number): void {
    for (const [service, claim] of this.#claims) {
      const level = demands.get(service) ?? "none";
      if (claim.confirmed.at(-1)?.level === level) continue;
      claim.confirmed = [...claim.confirmed, { at: now, level }];
    }
  }

  /** Returns the demand that every node has known since a monotonic time in milliseconds. */
  findKnown(service: string, since: number): DemandLevel | undefined {
    const claim = this.#claims.get(service);
    if (claim === undefined) return undefined;
    const { confirmed, published } = claim;
    const index = confirmed.findLastIndex(({ at }) => at <= since);
    if (index < 0) return undefined;
    claim.confirmed = confirmed.slice(index);
    const lowest = claim.confirmed.reduce<Level>(
      (low, { level }) => LEVELS[level] < LEVELS[low] ? level : low,
      published,
    );
    return lowest === "none" ? undefined : lowest;
  }

  /** Returns a demand limited to the one that is published at present. */
  limit(
    service: string,
    known: DemandLevel | undefined,
  ): DemandLevel | undefined {
    const published = this.#claims.get(service)?.published ?? "none";
    if (known === undefined || published === "none") return undefined;
    return LEVELS[published] < LEVELS[known] ? published : known;
  }

  #claim(service: string): Claim {
    let claim = this.#claims.get(service);
    if (claim === undefined) {
      claim = {
        activeAt: -Infinity,
        neededAt: -Infinity,
        neededSince: -Infinity,
        highUntil: -Infinity,
        rate: new DecayedCounter(RATE_HALF_LIFE_MILLISECONDS),
        published: "none",
        confirmed: [],
      };
      this.#claims.set(service, claim);
    }
    return claim;
  }
}

function findWanted(claim: Claim, now: number): Level {
  const { activeAt, neededAt, neededSince, rate } = claim;
  const isNeedHigh = now - neededAt < NEED_MILLISECONDS &&
    now - neededSince >= HIGH_NEED_MILLISECONDS;
  if (isNeedHigh || rate.perSecond(now) >= HIGH_REQUESTS_PER_SECOND) {
    claim.highUntil = now + HIGH_MILLISECONDS;
  }
  if (now < claim.highUntil) return "high";
  return now - activeAt < ACTIVITY_MILLISECONDS ? "low" : "none";
}
