import {
  type Claimant,
  type DemandLevel,
  type RequestShare,
  shareRecovery,
  shareWarmUp,
} from "../decisions/request_share.ts";
import type { Clock } from "../utilities/clock.ts";
import {
  DemandClaims,
  type DemandNews,
  type ServiceDemands,
} from "./demand_claims.ts";
import { RECOVERY_MILLISECONDS, WarmingServer } from "./warming_server.ts";

/**
 * Time for which a node that is not heard counts for the places of the others, so that these are the
 * same at all nodes although each one misses the heartbeats of others at other times.
 */
const PLACE_MILLISECONDS = 20_000;
/** Part of a node's heartbeat interval after which it counts as without contact. */
const CONTACT_HEARTBEATS = 2.2;
/** Longest interval between two reads of a node that sends heartbeats more often than it reads. */
const READ_MILLISECONDS = 350;
/** Time that is added, as the nodes do not measure at the same moment. */
const MARGIN_MILLISECONDS = 50;
/**
 * Least time after which all nodes count as knowing a demand; the slowest usual heartbeat interval is
 * 850 ms, and a node that has just started learns of the others only by their heartbeats.
 */
const MINIMUM_NOTICE_MILLISECONDS = 1000;
/**
 * Time for which the demand of a node without heartbeats still counts, as the node may be unable to
 * write and not have noticed it yet.
 */
const LOST_MILLISECONDS = 1000;

/**
 * Part of a request that a node of known demand has at the start of a warm-up. Which nodes have a share
 * may change while the nodes learn of the warm-up one after the other, so it is less than one.
 */
const INITIAL_PART = 0.5;
/** Largest part of a recovery that counts as passed, so that its last step holds to its end. */
const MAXIMUM_ELAPSED_PART = 0.999;

/** The warm-up of a server. */
export interface ServerWarmUp {
  readonly service: string;
  /** Requests a second that the server accepts from all nodes together. */
  readonly requestsPerSecond: number;
  /** Monotonic time of its end, in milliseconds. */
  readonly endsAt: number;
}

/** Dependencies of the limits of servers in warm-up. */
export interface WarmUpLimitsOptions {
  /** Name of this node. */
  readonly node: string;
  readonly clock: Clock;
  /** Factor on the rate of a server and number of requests by which a second may exceed it. */
  readonly bounds: {
    readonly warmUpOverageFactor: number;
    readonly warmUpSlackRequests: number;
  };
  /** Returns the service of a server; undefined if its servers need no warm-up. */
  readonly findService: (identifier: string) => string | undefined;
  /** Called when requests may be sent that had to wait before. */
  readonly onMoreRoom: () => void;
}

interface OtherNode {
  readonly demands: ServiceDemands;
  /** Monotonic time of the last read at which the node ran, in milliseconds. */
  readonly seenAt: number;
}

/** Keeps this node's requests to servers in warm-up within its share. */
export class WarmUpLimits {
  readonly #options: WarmUpLimitsOptions;
  readonly #servers = new Map<string, WarmingServer>();
  readonly #claims = new DemandClaims();
  readonly #others = new Map<string, OtherNode>();
  /** This node's demand by service that all nodes in contact know. */
  readonly #known = new Map<string, DemandLevel | undefined>();
  /** The other nodes with a demand, by service. */
  readonly #claimants = new Map<
    string,
    { readonly node: string; readonly demand: DemandLevel }[]
  >();
  /** Monotonic times, in milliseconds, at which nodes were last known to serve. */
  readonly #servingAt = new Map<string, number>();
  #news: DemandNews | undefined;
  /** Monotonic time, in milliseconds, at which a heartbeat of this node was first read back. */
  #heardSince: number | undefined;
  /** Whether all nodes have known this one, and it them, at some time. */
  #isEstablished = false;
  #waited = 0;

  /** @param options - Clock, bounds and the services of servers. */
  constructor(options: WarmUpLimitsOptions) {
    this.#options = options;
  }

  /** Number of servers whose warm-up, or the recovery after it, goes on. */
  get size(): number {
    return this.#servers.size;
  }

  /** Number of requests that were sent to servers in warm-up after requests for them had waited. */
  get waited(): number {
    return this.#waited;
  }

  /** Number of servers in warm-up. */
  get warmingServers(): number {
    const now = this.#options.clock.monotonic();
    return [...this.#servers.values()].filter(({ endsAt }) => endsAt > now)
      .length;
  }

  /** Largest number of requests that waited for one of the servers within the last second. */
  get waiting(): number {
    const now = this.#options.clock.monotonic();
    return Math.max(
      0,
      ...[...this.#servers.values()].map((server) => server.getWaiting(now)),
    );
  }

  /** Starts the warm-up of a server, or changes the end of the one that goes on. */
  set(identifier: string, warmUp: ServerWarmUp): void {
    const now = this.#options.clock.monotonic();
    const known = this.#servers.get(identifier);
    if (
      known === undefined || known.service !== warmUp.service ||
      known.requestsPerSecond !== warmUp.requestsPerSecond ||
      known.endsAt <= now
    ) {
      const server = new WarmingServer({ identifier, ...warmUp }, now);
      this.#servers.set(identifier, server);
      const { maximumSaved } = this.#computeShare(server, now);
      const isKnown = this.#known.get(server.service) !== undefined;
      server.begin(isKnown ? INITIAL_PART * maximumSaved : maximumSaved);
    } else {
      this.#refill(known);
      known.endsAt = warmUp.endsAt;
    }
  }

  /** Forgets the warm-up of a server that left the server table. */
  remove(identifier: string): void {
    this.#servers.delete(identifier);
  }

  /** Returns the number of requests that this node sent to a server during its warm-up. */
  getSent(identifier: string): number {
    return this.#servers.get(identifier)?.sent ?? 0;
  }

  /** Returns the expected time until a request may be sent to a server, in milliseconds. */
  getWait(identifier: string): number {
    const server = this.#find(identifier);
    if (server === undefined) return 0;
    const now = this.#options.clock.monotonic();
    const wait = server.getWait(this.#refill(server));
    if (wait === 0) return 0;
    const recovery = this.#computeRecovery(server, now);
    return Math.ceil(Math.min(
      wait,
      Math.max(0, server.endsAt - now) +
        Math.min(RECOVERY_MILLISECONDS, server.getWait(recovery)),
      this.#estimateNotice(server),
    ));
  }

  /**
   * Returns the time until a server accepts requests without a limit, in milliseconds; 0 if it is not
   * in warm-up.
   */
  getTimeLeft(identifier: string): number {
    const server = this.#find(identifier);
    if (server === undefined) return 0;
    const now = this.#options.clock.monotonic();
    return server.endsAt + RECOVERY_MILLISECONDS - now;
  }

  /** Whether a server is in warm-up or recovers from it. */
  has(identifier: string): boolean {
    return this.#find(identifier) !== undefined;
  }

  /** Returns the requests a second that this node may send to a server; Infinity without warm-up. */
  getShare(identifier: string): number {
    const server = this.#find(identifier);
    if (server === undefined) return Infinity;
    return this.#refill(server).requestsPerSecond;
  }

  /** Records that requests wait for a server. */
  recordNeed(identifier: string, requests: number): void {
    const server = this.#find(identifier);
    if (server === undefined) return;
    const now = this.#options.clock.monotonic();
    this.#refill(server);
    server.recordNeed(requests, now);
    this.#claims.recordNeed(server.service, now);
  }

  /** Records a request of any kind that is sent to a server, in warm-up or not. */
  recordRequest(identifier: string): void {
    const service = this.#options.findService(identifier);
    if (service === undefined) return;
    const now = this.#options.clock.monotonic();
    this.#claims.recordRequest(service, now);
    const server = this.#find(identifier);
    if (server === undefined) return;
    this.#refill(server);
    if (server.recordRequest(now)) this.#waited += 1;
  }

  /** Returns the demand that this node publishes. */
  toDemands(): ServiceDemands {
    return this.#claims.publish(this.#options.clock.monotonic());
  }

  /** Applies the demand of all nodes after a read of their heartbeats. */
  apply(news: DemandNews): void {
    const now = this.#options.clock.monotonic();
    for (const server of this.#servers.values()) {
      this.#refill(server);
    }
    if (this.#hasLostContact(news)) this.#claims.restart();
    this.#news = news;
    for (const [node, demands] of news.others) {
      this.#others.set(node, { demands, seenAt: now });
    }
    for (const [node, { seenAt }] of this.#others) {
      if (now - seenAt > LOST_MILLISECONDS) this.#others.delete(node);
    }
    this.#listClaimants();
    for (const node of news.nodes) this.#servingAt.set(node, now);
    for (const [node, servingAt] of this.#servingAt) {
      if (now - servingAt > PLACE_MILLISECONDS) this.#servingAt.delete(node);
    }
    if (news.own !== undefined) this.#claims.confirm(news.own.demands, now);
    const since = now - this.#noticeMilliseconds;
    if (news.own !== undefined) this.#heardSince ??= now;
    this.#isEstablished ||= (this.#heardSince ?? now) <= since;
    this.#known.clear();
    for (const service of news.own?.demands.keys() ?? []) {
      this.#known.set(service, this.#claims.findKnown(service, since));
    }
    if (this.#servers.size > 0) this.#options.onMoreRoom();
  }

  #hasLostContact({ own }: DemandNews): boolean {
    const last = this.#news?.own;
    return own !== undefined && last !== undefined &&
      own.readAt - last.readAt >= toContactTimeout(last.heartbeatMilliseconds);
  }

  #find(identifier: string): WarmingServer | undefined {
    const server = this.#servers.get(identifier);
    if (server === undefined) return undefined;
    const now = this.#options.clock.monotonic();
    if (now < server.endsAt + RECOVERY_MILLISECONDS) return server;
    this.#servers.delete(identifier);
    return undefined;
  }

  #refill(server: WarmingServer): RequestShare {
    const now = this.#options.clock.monotonic();
    const share = this.#computeShare(server, now);
    server.refill(share, now);
    return share;
  }

  #computeShare(server: WarmingServer, now: number): RequestShare {
    if (now >= server.endsAt) return this.#computeRecovery(server, now);
    const demand = this.#claims.limit(
      server.service,
      this.#known.get(server.service),
    );
    const isInContact = this.#isInContact(now);
    const { used } = server;
    if (
      used !== undefined && used.news === this.#news &&
      used.isInContact === isInContact && used.demand === demand
    ) return used.share;
    const share = this.#share(server, { demand, isInContact });
    server.used = { news: this.#news, isInContact, demand, share };
    return share;
  }

  #share(
    server: WarmingServer,
    { demand, isInContact }: {
      readonly demand: DemandLevel | undefined;
      readonly isInContact: boolean;
    },
  ): RequestShare {
    const { node, bounds } = this.#options;
    const { requestsPerSecond } = server;
    return shareWarmUp({
      requestsPerSecond,
      maximumRequests: requestsPerSecond * bounds.warmUpOverageFactor +
        bounds.warmUpSlackRequests,
      own: demand === undefined
        ? undefined
        : { order: server.getOrder(node), demand },
      others: this.#listOthers(server),
      isInContact,
      rank: demand === undefined || !isInContact
        ? this.#findRank(server)
        : Infinity,
    });
  }

  #computeRecovery(
    { service, requestsPerSecond, endsAt }: WarmingServer,
    now: number,
  ): RequestShare {
    return shareRecovery({
      requestsPerSecond,
      nodes: (this.#claimants.get(service)?.length ?? 0) + 1,
      elapsedPart: Math.min(
        MAXIMUM_ELAPSED_PART,
        Math.max(0, now - endsAt) / RECOVERY_MILLISECONDS,
      ),
    });
  }

  #listOthers(server: WarmingServer): ReadonlyArray<Claimant> {
    return (this.#claimants.get(server.service) ?? []).map((
      { node, demand },
    ) => ({ order: server.getOrder(node), demand }));
  }

  // Lists the other nodes with a demand by service, once for all servers.
  #listClaimants(): void {
    this.#claimants.clear();
    for (const [node, { demands }] of this.#others) {
      for (const [service, demand] of demands) {
        const claimants = this.#claimants.get(service) ?? [];
        this.#claimants.set(service, claimants);
        claimants.push({ node, demand });
      }
    }
  }

  // Whether the other nodes' demand was read recently, and this node's heartbeats reach the store.
  #isInContact(now: number): boolean {
    const own = this.#news?.own;
    if (own === undefined) return false;
    return now - own.readAt < toContactTimeout(own.heartbeatMilliseconds);
  }

  #findRank(server: WarmingServer): number {
    const { node } = this.#options;
    const nodes = this.#news?.nodes ?? [];
    // A node that has just started does not know all others, nor do they know it.
    if (!this.#isEstablished || !nodes.includes(node)) return Infinity;
    const own = server.getOrder(node);
    return [...this.#servingAt.keys()].filter((each) =>
      server.getOrder(each) < own
    ).length;
  }

  get #noticeMilliseconds(): number {
    const timeout = toContactTimeout(this.#news?.heartbeatMilliseconds ?? 0);
    return Math.max(MINIMUM_NOTICE_MILLISECONDS, timeout) +
      MARGIN_MILLISECONDS;
  }

  // Returns the expected time until this node gets a share as it has requests that wait.
  #estimateNotice(server: WarmingServer): number {
    const now = this.#options.clock.monotonic();
    const { service } = server;
    if (!this.#isInContact(now) || now >= server.endsAt) return Infinity;
    const known = this.#known.get(service);
    if (known === "high") return Infinity;
    const demand = known === undefined ? "low" : "high";
    const share =
      server.expected !== undefined && server.expected.news === this.#news
        ? server.expected.share
        : this.#share(server, { demand, isInContact: true });
    server.expected = { news: this.#news, share };
    if (share.requestsPerSecond === 0) return Infinity;
    const heartbeats = 2 * (this.#news?.own?.heartbeatMilliseconds ?? 0);
    const until = this.#claims.getRiseDelay(service, { known, now }) +
      heartbeats + this.#noticeMilliseconds;
    return Math.max(0, until) + server.getWait(share);
  }
}

function toContactTimeout(heartbeatMilliseconds: number): number {
  return CONTACT_HEARTBEATS * heartbeatMilliseconds + READ_MILLISECONDS;
}
