import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";
import type { ServiceWarmUp } from "./configuration.ts";
import type { OperatorView } from "./operator_view.ts";
import type { ServerView } from "./server_view.ts";
import type { WarmUpLimits } from "./warm_up_limits.ts";

/**
 * Time after a health check in which an entry does not shorten a warm-up, as it may have been written
 * before the response; nodes read entries within this time after they were written.
 */
const ENTRY_DELAY_MILLISECONDS = 1000;

/** Why a server is in warm-up. */
type WarmUpCause =
  | "started"
  | "entry"
  | "healthCheck"
  | "evacuationEnded"
  | "domainReturned";

/** Dependencies of the warm-ups of servers. */
export interface ServerWarmUpsOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly servers: Pick<ServerView, "servers" | "getRowVersion" | "isLoaded">;
  readonly operator: Pick<
    OperatorView,
    "configuration" | "evacuatedDomains" | "evacuationEnds"
  >;
  readonly limits: Pick<WarmUpLimits, "set" | "remove" | "getSent">;
  readonly stopping: AbortSignal;
}

interface KnownServer {
  entry: BackendServerEntry;
  rowVersion: number;
  /** End of the warm-up in monotonic milliseconds; 0 before the first one. */
  endsAt: number;
  isWarmingUp: boolean;
  /** Version of the store up to which the server's entries do not end its warm-up. */
  heldThrough: number;
  /** Monotonic time, in milliseconds, of the last health check that named a remaining time. */
  checkedAt: number;
}

/**
 * Finds out which servers are in warm-up, from their entries, the responses to health checks and the
 * ends of evacuations, and limits the requests to them until it ends.
 */
export class ServerWarmUps {
  readonly #options: ServerWarmUpsOptions;
  readonly #known = new Map<string, KnownServer>();
  /** Failure domains that had servers and lost all of them. */
  readonly #lostDomains = new Set<string>();
  /** Monotonic times, in milliseconds, at which lost failure domains returned. */
  readonly #returnedAt = new Map<string, number>();
  #evacuated: ReadonlySet<string> = new Set();
  #warmUps: ReadonlyMap<string, ServiceWarmUp> = new Map();
  #hasReadServers = false;

  /** @param options - The sources of warm-ups and the limits that they set. */
  constructor(options: ServerWarmUpsOptions) {
    this.#options = options;
  }

  /** Reads the entries that have changed; called after each change of the server table. */
  updateServers(): void {
    const { servers } = this.#options;
    if (!servers.isLoaded) return;
    const isFirstRead = !this.#hasReadServers;
    this.#hasReadServers = true;
    this.#removeGone();
    const returning = this.#findReturning();
    for (const entry of servers.servers.values()) {
      this.#update(entry, { isFirstRead, returning });
    }
  }

  /** Reads the services and the evacuations; called after each change of the operator's table. */
  updateOperator(): void {
    const { operator } = this.#options;
    const previous = this.#warmUps;
    const services = operator.configuration?.services ?? new Map();
    this.#warmUps = new Map(
      [...services.values()].flatMap(({ name, warmUp }) =>
        warmUp === undefined ? [] : [[name, warmUp] as const]
      ),
    );
    for (const known of this.#known.values()) {
      if (previous.has(known.entry.service)) continue;
      this.#applyRemaining(known, known.entry.warmUpMilliseconds ?? 0, "entry");
    }
    const evacuated = operator.evacuatedDomains;
    const ended = [...this.#evacuated].filter((domain) =>
      !evacuated.has(domain)
    );
    this.#evacuated = evacuated;
    for (const domain of ended) this.#endEvacuation(domain);
  }

  /**
   * Records the remaining time of a warm-up that a server named in its response to a health check.
   * @param server - The server that responded.
   * @param milliseconds - The remaining time; 0 when the server is warm.
   */
  recordHealthCheck(server: BackendServerEntry, milliseconds: number): void {
    const known = this.#known.get(server.identifier);
    if (known?.entry.startedAt !== server.startedAt) return;
    const now = this.#options.clock.monotonic();
    const isHeld = known.heldThrough >= known.rowVersion;
    if (isHeld && now + milliseconds <= known.endsAt) return;
    known.checkedAt = now;
    this.#applyRemaining(known, milliseconds, "healthCheck");
  }

  #update(
    entry: BackendServerEntry,
    { isFirstRead, returning }: {
      readonly isFirstRead: boolean;
      readonly returning: ReadonlySet<string>;
    },
  ): void {
    const { servers } = this.#options;
    const rowVersion = servers.getRowVersion(entry.identifier);
    const last = this.#known.get(entry.identifier);
    if (last?.rowVersion === rowVersion) return;
    const known = last ?? createKnown(entry);
    this.#known.set(entry.identifier, known);
    const isNewStart = !isFirstRead &&
      (last === undefined || last.entry.startedAt !== entry.startedAt);
    known.entry = entry;
    known.rowVersion = rowVersion;
    const { durationMilliseconds } = this.#warmUps.get(entry.service) ??
      { durationMilliseconds: 0 };
    const remaining = entry.warmUpMilliseconds;
    if (last === undefined && !isFirstRead) {
      known.heldThrough = this.#findHold(entry, returning);
    }
    if (isNewStart) {
      known.checkedAt = -Infinity;
      const named = remaining ?? durationMilliseconds;
      // An entry that may be older than the warm-up does not end it.
      const isHeld = rowVersion <= known.heldThrough;
      const cause = isHeld ? "domainReturned" : "started";
      const longest = Math.max(named, durationMilliseconds);
      this.#applyRemaining(known, isHeld ? longest : named, cause);
    } else this.#applyEntry(known);
  }

  // Returns the version of the store through which entries of a new server do not end its warm-up.
  #findHold(
    { identifier, failureDomain }: BackendServerEntry,
    returning: ReadonlySet<string>,
  ): number {
    const { servers, operator } = this.#options;
    return Math.max(
      returning.has(failureDomain) ? servers.getRowVersion(identifier) : -1,
      operator.evacuationEnds.get(failureDomain) ?? -1,
    );
  }

  // Applies an entry of a known start, unless a newer value is known.
  #applyEntry(known: KnownServer): void {
    const { entry, rowVersion, heldThrough, checkedAt, endsAt } = known;
    const now = this.#options.clock.monotonic();
    const remaining = entry.warmUpMilliseconds;
    const isOlder = rowVersion <= heldThrough ||
      now - checkedAt < ENTRY_DELAY_MILLISECONDS;
    if (isOlder && now + (remaining ?? 0) <= endsAt) return;
    const wasHeld = heldThrough >= 0 && rowVersion > heldThrough;
    if (wasHeld) known.heldThrough = -1;
    // An entry that names no time says nothing about a warm-up, but ends the wait for an entry.
    if (remaining === undefined && !wasHeld) return;
    this.#applyRemaining(known, remaining ?? 0, "entry");
  }

  #endEvacuation(domain: string): void {
    const { operator, clock } = this.#options;
    const endVersion = operator.evacuationEnds.get(domain) ?? Infinity;
    for (const known of this.#known.values()) {
      const { entry, rowVersion } = known;
      const warmUp = this.#warmUps.get(entry.service);
      if (entry.failureDomain !== domain || warmUp === undefined) continue;
      if (rowVersion > endVersion) continue;
      known.heldThrough = endVersion;
      const left = known.endsAt - clock.monotonic();
      const longest = Math.max(left, warmUp.durationMilliseconds);
      this.#applyRemaining(known, longest, "evacuationEnded");
    }
  }

  #applyRemaining(
    known: KnownServer,
    milliseconds: number,
    cause: WarmUpCause,
  ): void {
    const { clock, limits, log } = this.#options;
    const { entry } = known;
    const warmUp = this.#warmUps.get(entry.service);
    if (warmUp === undefined) return this.#end(known);
    if (milliseconds <= 0 && !known.isWarmingUp) return;
    const { requestsPerSecond } = warmUp;
    known.endsAt = clock.monotonic() + milliseconds;
    limits.set(entry.identifier, {
      service: entry.service,
      requestsPerSecond,
      endsAt: known.endsAt,
    });
    if (milliseconds <= 0) return this.#end(known);
    if (!known.isWarmingUp) {
      known.isWarmingUp = true;
      log.emit("serverWarmUpStarted", {
        server: entry.identifier,
        service: entry.service,
        cause,
        milliseconds: Math.round(milliseconds),
      });
    }
    void this.#endLater(known);
  }

  async #endLater(known: KnownServer): Promise<void> {
    const { clock, stopping } = this.#options;
    const { endsAt } = known;
    await clock.sleep(endsAt - clock.monotonic(), stopping);
    if (known.endsAt === endsAt && !stopping.aborted) this.#end(known);
  }

  #end(known: KnownServer): void {
    if (!known.isWarmingUp) return;
    const { log, limits } = this.#options;
    const { entry } = known;
    known.isWarmingUp = false;
    known.heldThrough = -1;
    log.emit("serverWarmUpEnded", {
      server: entry.identifier,
      service: entry.service,
      sent: limits.getSent(entry.identifier),
    });
  }

  #removeGone(): void {
    const { servers } = this.#options.servers;
    const present = new Set(
      [...servers.values()].map(({ failureDomain }) => failureDomain),
    );
    for (const [identifier, known] of this.#known) {
      if (servers.has(identifier)) continue;
      this.#known.delete(identifier);
      this.#end(known);
      this.#options.limits.remove(identifier);
      const { failureDomain } = known.entry;
      if (!present.has(failureDomain)) this.#lostDomains.add(failureDomain);
    }
  }

  // Returns the failure domains that have servers again, for as long as their servers may be in warm-up.
  #findReturning(): ReadonlySet<string> {
    const now = this.#options.clock.monotonic();
    for (const { failureDomain } of this.#options.servers.servers.values()) {
      if (!this.#lostDomains.delete(failureDomain)) continue;
      this.#returnedAt.set(failureDomain, now);
    }
    const longest = Math.max(
      0,
      ...[...this.#warmUps.values()].map(({ durationMilliseconds }) =>
        durationMilliseconds
      ),
    );
    for (const [domain, returnedAt] of this.#returnedAt) {
      if (now - returnedAt > longest) this.#returnedAt.delete(domain);
    }
    return new Set(this.#returnedAt.keys());
  }
}

function createKnown(entry: BackendServerEntry): KnownServer {
  return {
    entry,
    rowVersion: -1,
    endsAt: 0,
    isWarmingUp: false,
    heldThrough: -1,
    checkedAt: -Infinity,
  };
}
