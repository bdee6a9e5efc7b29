import { LRUCache } from "lru-cache";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";
import { LimitedServer, type OtherUse } from "./limited_server.ts";
import type { WarmUpLimits } from "./warm_up_limits.ts";

/** Minimum interval between two log lines about the use of one server's limit. */
const USE_LOG_INTERVAL_MILLISECONDS = 1000;
/**
 * Time after an answer of a server in which this node publishes its limit, and in which it does not
 * take over another node's older news.
 */
const ANSWER_VALIDITY_MILLISECONDS = 5000;
/** Maximum number of servers whose last answer without a limit is remembered. */
const MAXIMUM_UNLIMITED_SERVERS = 2000;
/** Number of heartbeat intervals in which the other nodes learn that this node is active. */
const NOTICE_HEARTBEATS = 3;
const MINIMUM_NOTICE_MILLISECONDS = 600;

/** A server's limit and a node's use of it, as the node publishes it. */
export interface LimitRecord {
  readonly identifier: string;
  readonly startedAt: number;
  readonly requestsPerSecond: number;
  /** Requests a second that the node needs; undefined if it sent none recently. */
  readonly demand: number | undefined;
}

/** What a node knows of the other nodes after a read of their heartbeats. */
export interface LimitNews {
  /** Records of all other nodes. */
  readonly records: ReadonlyArray<LimitRecord>;
  /** Names of the nodes that may send requests, this one included, in the same order everywhere. */
  readonly nodes: ReadonlyArray<string>;
  /** Longest interval between two heartbeats of this node or of a node that uses a limit. */
  readonly heartbeatMilliseconds: number;
}

/** Dependencies of the limits of servers. */
export interface ServerLimitsOptions {
  /** Name of this node. */
  readonly node: string;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Limits of servers in warm-up; none if absent. */
  readonly warmUps?: WarmUpLimits;
}

/**
 * Keeps this node's requests to servers that named a limit, or are in warm-up, within its share. A
 * limit holds for all nodes together, which tell each other of it and of their demand in their
 * heartbeats. For a server in warm-up that named a limit, the lower one applies.
 */
export class ServerLimits {
  readonly #options: ServerLimitsOptions;
  readonly #limited = new Map<string, LimitedServer>();
  /** Monotonic times, in milliseconds, of the last answer of each server without a limit. */
  readonly #unlimitedAt = new LRUCache<string, number>({
    max: MAXIMUM_UNLIMITED_SERVERS,
  });
  readonly #watchers: (() => void)[] = [];
  /** Names of the nodes that may send requests. */
  #nodes: ReadonlyArray<string> = [];
  /** What the other nodes published, by server. */
  #records: ReadonlyMap<string, ReadonlyArray<LimitRecord>> = new Map();

  /** @param options - Clock and event log. */
  constructor(options: ServerLimitsOptions) {
    this.#options = options;
  }

  /** Number of servers that named a limit, plus the number of those in warm-up. */
  get size(): number {
    return this.#limited.size + (this.#options.warmUps?.size ?? 0);
  }

  /** Number of servers that named a limit. */
  get limitedServers(): number {
    return this.#limited.size;
  }

  /** Registers a function that is called when requests may be sent that had to wait before. */
  watch(onMoreRoom: () => void): void {
    this.#watchers.push(onMoreRoom);
  }

  /** Tells the watchers that requests may be sent that had to wait before. */
  notify(): void {
    for (const onMoreRoom of this.#watchers) onMoreRoom();
  }

  /**
   * Records the limit that an answer of a server to this node names.
   * @param server - The server that answered.
   * @param requestsPerSecond - Requests a second from all nodes together; undefined without a limit.
   */
  recordAnswer(
    { identifier, startedAt }: BackendServerEntry,
    requestsPerSecond: number | undefined,
  ): void {
    const now = this.#options.clock.monotonic();
    if (requestsPerSecond === undefined) {
      this.#unlimitedAt.set(identifier, now);
      this.#lift(identifier);
      return;
    }
    this.#unlimitedAt.delete(identifier);
    const limited = this.#name({ identifier, startedAt, requestsPerSecond });
    limited.answeredAt = now;
  }

  /** Returns the time, in milliseconds, until a request may be sent to a server; 0 when it may now. */
  getWait(identifier: string): number {
    const limited = this.#limited.get(identifier);
    return Math.max(
      limited?.getWait(this.#options.clock.monotonic()) ?? 0,
      this.getWarmUpWait(identifier),
    );
  }

  /** Returns the same time as far as the warm-up of the server is the reason for it. */
  getWarmUpWait(identifier: string): number {
    return this.#options.warmUps?.getWait(identifier) ?? 0;
  }

  /**
   * Returns the time, in milliseconds, until one more request may be sent to any of some servers.
   * @param identifiers - The servers.
   * @param earlier - Number of requests that are sent before it.
   * @returns The time; 0 while one of the servers has no limit, and without servers.
   */
  estimateWait(identifiers: ReadonlyArray<string>, earlier: number): number {
    const now = this.#options.clock.monotonic();
    const { warmUps } = this.#options;
    if (identifiers.length === 0) return 0;
    let shortest = Infinity;
    let requestsPerSecond = 0;
    let latest = Infinity;
    for (const identifier of identifiers) {
      const limited = this.#limited.get(identifier);
      if (limited === undefined && warmUps?.has(identifier) !== true) return 0;
      shortest = Math.min(shortest, this.getWait(identifier));
      requestsPerSecond += Math.min(
        limited?.getShare(now) ?? Infinity,
        warmUps?.getShare(identifier) ?? Infinity,
      );
      if (limited === undefined) {
        latest = Math.min(latest, warmUps?.getTimeLeft(identifier) ?? 0);
      }
    }
    if (earlier === 0) return shortest;
    const wait = shortest + Math.ceil(1000 * earlier / requestsPerSecond);
    return Math.min(wait, Math.max(shortest, Math.ceil(latest)));
  }

  /**
   * Records that requests wait for one of some servers, so that this node gets a larger share.
   * @param identifiers - The servers.
   * @param requests - Number of requests that wait.
   */
  recordNeed(identifiers: ReadonlyArray<string>, requests: number): void {
    const now = this.#options.clock.monotonic();
    for (const identifier of identifiers) {
      this.#limited.get(identifier)?.recordNeed(requests, now);
      this.#options.warmUps?.recordNeed(identifier, requests);
    }
  }

  /** Records a request of any kind that this node sends to a server. */
  recordRequest(identifier: string): void {
    this.#options.warmUps?.recordRequest(identifier);
    const limited = this.#limited.get(identifier);
    if (limited === undefined) return;
    const { clock, log } = this.#options;
    const now = clock.monotonic();
    limited.recordRequest(now);
    const use = limited.takeUse(now, USE_LOG_INTERVAL_MILLISECONDS);
    if (use === undefined) return;
    log.emit("serverLimitUsed", {
      server: identifier,
      requestsPerSecond: limited.requestsPerSecond,
      share: Number(limited.getShare(now).toFixed(2)),
      ...use,
    });
  }

  /** Returns what this node publishes: limits named in recent answers, and its use of limits. */
  toRecords(): ReadonlyArray<LimitRecord> {
    const now = this.#options.clock.monotonic();
    return [...this.#limited].flatMap(([identifier, limited]) => {
      const { startedAt, requestsPerSecond, answeredAt } = limited;
      const isRecent = answeredAt !== undefined &&
        now - answeredAt < ANSWER_VALIDITY_MILLISECONDS;
      const isActive = limited.isActive(now);
      if (!isRecent && !isActive) return [];
      const demand = isActive ? limited.getDemand(now) : undefined;
      return [{ identifier, startedAt, requestsPerSecond, demand }];
    });
  }

  /** Applies what other nodes published in their latest heartbeats. */
  apply(news: LimitNews): void {
    const now = this.#options.clock.monotonic();
    this.#nodes = news.nodes;
    this.#records = groupByServer(news.records);
    for (const record of news.records) {
      const unlimitedAt = this.#unlimitedAt.get(record.identifier) ?? -Infinity;
      const isOutdated = now - unlimitedAt < ANSWER_VALIDITY_MILLISECONDS;
      const known = this.#limited.get(record.identifier);
      const isNewStart = known === undefined ||
        known.startedAt < record.startedAt;
      if (!isOutdated && isNewStart) this.#name(record);
    }
    const noticeMilliseconds = Math.max(
      MINIMUM_NOTICE_MILLISECONDS,
      NOTICE_HEARTBEATS * news.heartbeatMilliseconds,
    );
    for (const [identifier, limited] of this.#limited) {
      const isNamed = this.#records.has(identifier);
      if (limited.answeredAt === undefined && !isNamed) this.#lift(identifier);
      else {
        const other = this.#toOtherUse(identifier);
        limited.update(other, now, noticeMilliseconds);
      }
    }
    if (this.#limited.size > 0) this.notify();
  }

  /** Removes the limits of servers that left the server table. */
  removeUnregistered(isRegistered: (identifier: string) => boolean): void {
    for (const identifier of this.#limited.keys()) {
      if (!isRegistered(identifier)) this.#limited.delete(identifier);
    }
  }

  #name(server: Omit<LimitRecord, "demand">): LimitedServer {
    const { identifier, startedAt, requestsPerSecond } = server;
    const { clock, log } = this.#options;
    const known = this.#limited.get(identifier);
    if (known?.startedAt === startedAt) {
      known.requestsPerSecond = requestsPerSecond;
      return known;
    }
    log.emit("serverLimitNamed", { server: identifier, requestsPerSecond });
    const limited = new LimitedServer(
      server,
      this.#toOtherUse(identifier),
      clock.monotonic(),
    );
    this.#limited.set(identifier, limited);
    return limited;
  }

  #lift(identifier: string): void {
    if (!this.#limited.delete(identifier)) return;
    this.#options.log.emit("serverLimitLifted", { server: identifier });
    this.notify();
  }

  #toOtherUse(identifier: string): OtherUse {
    const nodes = this.#nodes;
    const records = this.#records.get(identifier) ?? [];
    const demands = records.flatMap(({ demand }) => demand ?? []);
    const position = nodes.indexOf(this.#options.node);
    // A node that does not serve callers, as it starts or drains, comes after those that do.
    if (position < 0) {
      return { demands, nodes: nodes.length + 1, rank: nodes.length };
    }
    const rank = (position + toOffset(identifier)) % nodes.length;
    return { demands, nodes: nodes.length, rank };
  }
}

function groupByServer(
  records: ReadonlyArray<LimitRecord>,
): ReadonlyMap<string, ReadonlyArray<LimitRecord>> {
  const groups = new Map<string, LimitRecord[]>();
  for (const record of records) {
    const group = groups.get(record.identifier);
    if (group === undefined) groups.set(record.identifier, [record]);
    else group.push(record);
  }
  return groups;
}

// Lets other nodes be the first for each server; identifiers differ mostly in their last characters.
function toOffset(identifier: string): number {
  return Buffer.from(identifier).subarray(-4).reduce(
    (sum, byte) => 31 * sum + byte,
    0,
  );
}
