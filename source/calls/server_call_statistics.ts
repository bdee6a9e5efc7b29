import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServerLimits } from "../installation/server_limits.ts";
import type { SlotSharing } from "../installation/slot_sharing.ts";
import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";

const INITIAL_BACKOFF_MILLISECONDS = 250;
const MAXIMUM_BACKOFF_MILLISECONDS = 4000;
/** Weight of a new duration in the moving average of a server's response times. */
const DURATION_SMOOTHING = 0.2;
/** Response time that is assumed for a server before its first response. */
const INITIAL_DURATION_MILLISECONDS = 50;
/**
 * Cost factor of a server in another failure domain, traffic to which is charged; of otherwise equal
 * servers, the one in the node's own domain is chosen.
 */
const CROSS_DOMAIN_FACTOR = 1.3;
/**
 * Cost factor of a server without an idle connection; a new connection takes time to open and
 * briefly uses capacity of the server.
 */
const NEW_CONNECTION_FACTOR = 1.4;
/** Range of the random cost factor, which keeps nodes from choosing the same server first. */
const SPREAD = 0.2;
/** The same range for slots that other nodes may choose at the same moment. */
const SHARED_SPREAD = 2;
/**
 * Cost factor of a free slot that belongs to another node's share, which the other node may use at
 * the same moment.
 */
const BORROWED_FACTOR = 2;
/** Cost factor of a server whose slots are all in use, so that it queues the request. */
const FULL_FACTOR = 6;

interface ServerState {
  running: number;
  consecutiveFailures: number;
  /** End of the backoff, in milliseconds on the monotonic clock. */
  backoffUntil: number;
  /** Exponential moving average of response times, in milliseconds. */
  durationMilliseconds: number;
}

/** Dependencies of the statistics of servers. */
export interface ServerCallStatisticsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Failure domain of this node. */
  readonly failureDomain: string;
  readonly limits: ServerLimits;
  /** Divides the free slots between the nodes; without it, all belong to this one. */
  readonly sharing?: SlotSharing;
  /** Whether an idle connection to the server is open. */
  readonly isConnected: (server: BackendServerEntry) => boolean;
}

/**
 * Records what a node of the installation observes of each server through its own requests: how many
 * run, how long they take, and whether the server failed recently. A streamed request counts until
 * its response head arrives. Nodes of the project's own interface use `ServerStatistics`.
 */
export class ServerCallStatistics {
  readonly #options: ServerCallStatisticsOptions;
  readonly #states = new Map<string, ServerState>();
  #runningElsewhere: ReadonlyMap<string, number> = new Map();

  /** @param options - Clock, random source and the failure domain of the node. */
  constructor(options: ServerCallStatisticsOptions) {
    this.#options = options;
  }

  /** Returns the number of this node's requests that run at a server; a streamed one until its response head. */
  running(identifier: string): number {
    return this.#states.get(identifier)?.running ?? 0;
  }

  /** Returns the number of requests of all nodes that run at a server, as far as this node knows. */
  occupied(identifier: string): number {
    return this.running(identifier) +
      (this.#runningElsewhere.get(identifier) ?? 0);
  }

  /** Sets the number of requests that other nodes run at each server. */
  setRunningElsewhere(runningElsewhere: ReadonlyMap<string, number>): void {
    this.#runningElsewhere = runningElsewhere;
  }

  /** Returns the number of this node's running requests by server, for servers that run any. */
  runningByServer(): Readonly<Record<string, number>> {
    const running = [...this.#states].filter(([, state]) => state.running > 0);
    return Object.fromEntries(
      running.map(([identifier, state]) => [identifier, state.running]),
    );
  }

  /** Returns the servers that are not in backoff; all of them when all are. */
  filterAvailable(
    servers: ReadonlyArray<BackendServerEntry>,
  ): ReadonlyArray<BackendServerEntry> {
    const available = servers.filter(({ identifier }) =>
      !this.isBackingOff(identifier)
    );
    return available.length > 0 ? available : servers;
  }

  /** Whether the limit of a server, if it has one, allows one more request now. */
  hasRoom({ identifier }: BackendServerEntry): boolean {
    return this.#options.limits.getWait(identifier) === 0;
  }

  /**
   * Returns the time until the limits of the servers allow a request, in milliseconds. Asks the other
   * nodes for a larger share of the limits that do not allow one now.
   * @param servers - Candidate servers.
   * @param queue - Number of requests that wait, this one included, and of those before it.
   */
  waitForRoom(
    servers: ReadonlyArray<BackendServerEntry>,
    { requests, earlier }: {
      readonly requests: number;
      readonly earlier: number;
    },
  ): number {
    const { limits } = this.#options;
    const identifiers = servers.map(({ identifier }) => identifier);
    limits.recordNeed(
      identifiers.filter((identifier) => limits.getWait(identifier) > 0),
      requests,
    );
    return limits.estimateWait(identifiers, earlier);
  }

  /** Returns the part of that time for which the warm-ups of all the servers are the reason. */
  getWarmUpWait(servers: ReadonlyArray<BackendServerEntry>): number {
    const { limits } = this.#options;
    return servers.length === 0 ? 0 : Math.min(
      ...servers.map(({ identifier }) => limits.getWarmUpWait(identifier)),
    );
  }

  /** Returns the mean of the servers' response times, in milliseconds; 0 without servers. */
  meanMilliseconds(servers: ReadonlyArray<BackendServerEntry>): number {
    const durations = servers.map(({ identifier }) =>
      this.#states.get(identifier)?.durationMilliseconds ??
        INITIAL_DURATION_MILLISECONDS
    );
    const sum = durations.reduce((total, each) => total + each, 0);
    return durations.length === 0 ? 0 : sum / durations.length;
  }

  /**
   * Whether a server is in backoff after a failure and is avoided while other servers are
   * available.
   */
  isBackingOff(identifier: string): boolean {
    const state = this.#states.get(identifier);
    return state !== undefined &&
      state.backoffUntil > this.#options.clock.monotonic();
  }

  /** Records that a request was sent. */
  recordStart(identifier: string): void {
    this.#options.limits.recordRequest(identifier);
    this.#state(identifier).running += 1;
  }

  /** Records that a request has ended, whatever its outcome, or that a streamed response has begun. */
  recordEnd(identifier: string): void {
    this.#state(identifier).running -= 1;
  }

  /**
   * Records the duration of a request that was answered by a stream or with a status below 500, and
   * ends the server's backoff.
   */
  recordSuccess(identifier: string, milliseconds: number): void {
    const state = this.#state(identifier);
    state.consecutiveFailures = 0;
    state.backoffUntil = 0;
    state.durationMilliseconds += DURATION_SMOOTHING *
      (milliseconds - state.durationMilliseconds);
  }

  /**
   * Records how long a cancelled request ran, as a lower bound of its duration, so that a slow
   * server is detected before it responds.
   */
  recordMinimumDuration(identifier: string, milliseconds: number): void {
    const state = this.#state(identifier);
    if (milliseconds <= state.durationMilliseconds) return;
    state.durationMilliseconds += DURATION_SMOOTHING *
      (milliseconds - state.durationMilliseconds);
  }

  /** Records a failure and starts a backoff, which doubles with each consecutive failure. */
  recordFailure(identifier: string): void {
    const state = this.#state(identifier);
    const backoff = INITIAL_BACKOFF_MILLISECONDS *
      2 ** state.consecutiveFailures;
    state.consecutiveFailures += 1;
    state.backoffUntil = this.#options.clock.monotonic() +
      Math.min(backoff, MAXIMUM_BACKOFF_MILLISECONDS);
  }

  /**
   * Selects the server with the lowest cost, which depends on its response times, its load, its
   * failure domain and its connections. Servers in backoff are selected only when there are no
   * others, and servers whose limit is used up not at all.
   * @param servers - Candidate servers.
   * @returns The server; undefined when there are none or the limits allow no request now.
   */
  pick(
    servers: ReadonlyArray<BackendServerEntry>,
  ): BackendServerEntry | undefined {
    let best: BackendServerEntry | undefined;
    let lowest = Infinity;
    const withRoom = servers.filter((server) => this.hasRoom(server));
    for (const server of this.filterAvailable(withRoom)) {
      const cost = this.#cost(server);
      if (cost < lowest) [best, lowest] = [server, cost];
    }
    return best;
  }

  /** Removes the records of servers that left the server table and run no request of this node. */
  removeUnregistered(isRegistered: (identifier: string) => boolean): void {
    for (const [identifier, state] of this.#states) {
      if (state.running === 0 && !isRegistered(identifier)) {
        this.#states.delete(identifier);
      }
    }
  }

  #cost(server: BackendServerEntry): number {
    const { failureDomain, random, isConnected } = this.#options;
    const state = this.#states.get(server.identifier);
    const running = this.occupied(server.identifier);
    const durationMilliseconds = state?.durationMilliseconds ??
      INITIAL_DURATION_MILLISECONDS;
    const loadFactor = 1 + running / server.slots;
    const domainFactor = server.failureDomain === failureDomain
      ? 1
      : CROSS_DOMAIN_FACTOR;
    const slotFactor = this.#slotFactor(server);
    const spread = slotFactor > 1 ? SHARED_SPREAD : SPREAD;
    const randomFactor = 1 + spread * random.next();
    const connectionFactor = isConnected(server) ? 1 : NEW_CONNECTION_FACTOR;
    return durationMilliseconds * loadFactor * domainFactor * connectionFactor *
      slotFactor * randomFactor;
  }

  #isShared({ service }: BackendServerEntry): boolean {
    const { sharing } = this.#options;
    return sharing !== undefined && sharing.countNodes(service) > 1;
  }

  #slotFactor(server: BackendServerEntry): number {
    const { sharing } = this.#options;
    const { identifier, slots } = server;
    if (sharing === undefined || !this.#isShared(server)) return 1;
    const running = this.running(identifier);
    const elsewhere = this.#runningElsewhere.get(identifier) ?? 0;
    if (sharing.isWithinShare(server, { running, elsewhere })) return 1;
    return running + elsewhere < slots ? BORROWED_FACTOR : FULL_FACTOR;
  }

  #state(identifier: string): ServerState {
    let state = this.#states.get(identifier);
    if (state === undefined) {
      state = {
        running: 0,
        consecutiveFailures: 0,
        backoffUntil: 0,
        durationMilliseconds: INITIAL_DURATION_MILLISECONDS,
      };
      this.#states.set(identifier, state);
    }
    return state;
  }
}
