import { LRUCache } from "lru-cache";
import {
  type AllowedRegions,
  mayProcess,
} from "../decisions/allowed_regions.ts";
import { isServiceEvacuated } from "../decisions/evacuation.ts";
import type { RowChange, StoredRow } from "../platform/durable_table.ts";
import { TableFollower, USUAL_PACE } from "../platform/table_follower.ts";
import type {
  BackendServerEntry,
  ServerStart,
} from "./backend_server_entry.ts";
import { ENDED } from "../utilities/ended.ts";
import { EvacuationLog } from "./evacuation_log.ts";
import { type LeavingNotice, LeavingServers } from "./leaving_servers.ts";
import { MalformedRows } from "./malformed_rows.ts";
import type { ServerViewOptions } from "./server_view_options.ts";
import { SoftwareVersionsSeen } from "./software_versions_seen.ts";

/**
 * Pause after each response with changes, as a share of `drainMilliseconds`. Servers write a row at
 * each heartbeat, so without the pause this node would call the store for almost every row.
 */
const CHANGE_PAUSE_SHARE = 0.15;
/** Maximum number of servers that have left and whose last entry is remembered. */
const MAXIMUM_DEPARTED_SERVERS = 2000;

/** The same for nodes that get neither callers nor steps while there are others. */
const RESERVE_CHANGE_PAUSE_SHARE = 0.3;
/**
 * Time after an outage of the store for which servers without an entry are retained; servers renew
 * expired entries within about 2 s.
 */
const RETENTION_MILLISECONDS = 1900;

/** Time limit of a read of the changes until now; a slow store answers within about 300 ms. */
const CONFIRMATION_MILLISECONDS = 400;

/**
 * Tracks the backend servers that are registered in the store.
 * @example
 * ```ts
 * const view = new ServerView(options);
 * void view.run();
 * const servers = view.ofService("orders");
 * ```
 */
export class ServerView {
  readonly #options: ServerViewOptions;
  readonly #watchers: (() => void)[] = [];
  readonly #malformed: MalformedRows;
  readonly #follower: TableFollower;
  readonly #leaving: LeavingServers;
  /** Identifiers of servers without an entry that are retained while they may still renew it. */
  readonly #retained = new Set<string>();
  #servers = new Map<string, BackendServerEntry>();
  /** Last entries of the servers whose entry was deleted while the entries were followed. */
  readonly #departed = new LRUCache<string, BackendServerEntry>({
    max: MAXIMUM_DEPARTED_SERVERS,
  });
  /** Versions of the store at which the known entries were written, by identifier. */
  readonly #rowVersions = new Map<string, number>();
  #byService: ReadonlyMap<string, ReadonlyArray<BackendServerEntry>> =
    new Map();
  readonly #evacuationLog: EvacuationLog;
  #evacuatedDomains: ReadonlySet<string> = new Set();
  #isFailing = false;
  readonly #versionsSeen = new SoftwareVersionsSeen();
  /** Monotonic time, in milliseconds, since which the entries are followed without an outage. */
  #followedSince = Infinity;
  /** Monotonic time, in milliseconds, at which the last outage of the store was detected. */
  #failedAt = 0;
  /** Whether the next snapshot follows an outage of the store. */
  #mustRetainMissingServers = false;
  #isLoaded = false;

  /** @param options - The store and the parser of its rows. */
  constructor(options: ServerViewOptions) {
    this.#options = options;
    this.#leaving = new LeavingServers(options.log);
    this.#evacuationLog = new EvacuationLog(options.log);
    const { clock, log, table, tableName, stopping } = options;
    const { drainMilliseconds } = options;
    this.#malformed = new MalformedRows({
      clock,
      log: (key) => log.emit("serverEntryMalformed", { key }),
    });
    this.#follower = new TableFollower({
      clock,
      table,
      name: tableName,
      partition: "",
      pace: () => ({
        ...USUAL_PACE,
        pauseAfterChangesMilliseconds: drainMilliseconds *
          (options.isInReserve?.() === true
            ? RESERVE_CHANGE_PAUSE_SHARE
            : CHANGE_PAUSE_SHARE),
      }),
      stopping,
      onSnapshot: (rows) => this.#replace(rows),
      onChanges: (changes) => this.#apply(changes),
      onHealthChange: (problem) => this.#updateHealth(problem),
    });
  }

  /** Whether the entries were read at least once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Whether the last read succeeded and no server is retained without an entry. */
  get isCurrent(): boolean {
    return this.#isLoaded && !this.#isFailing && this.#retained.size === 0;
  }

  /** All registered and retained servers by identifier, draining ones included. */
  get servers(): ReadonlyMap<string, BackendServerEntry> {
    return this.#servers;
  }

  /** Names of the failure domains whose servers get no requests. */
  get evacuatedDomains(): ReadonlySet<string> {
    return this.#evacuatedDomains;
  }

  /** Number of registered and retained servers that are in evacuated failure domains. */
  get evacuatedServers(): number {
    const servers = [...this.#servers.values()];
    return servers.filter((server) => this.isEvacuated(server)).length;
  }

  /** Sets the failure domains whose servers get no requests. */
  setEvacuatedDomains(domains: ReadonlySet<string>): void {
    const known = this.#evacuatedDomains;
    const isUnchanged = domains.size === known.size &&
      [...domains].every((domain) => known.has(domain));
    if (isUnchanged) return;
    this.#evacuatedDomains = new Set(domains);
    this.#regroupAndNotify();
  }

  /** Whether a server must get no request of any kind because its failure domain is evacuated. */
  isEvacuated(
    { failureDomain }: Pick<BackendServerEntry, "failureDomain">,
  ): boolean {
    return this.#evacuatedDomains.has(failureDomain);
  }

  /**
   * Whether evacuations are the reason that no server of a service takes new requests.
   * @param service - The service.
   * @param allowed - Regions in which the servers must be; any if absent.
   */
  isServiceEvacuated(service: string, allowed?: AllowedRegions): boolean {
    if (this.#evacuatedDomains.size === 0) return false;
    const servers = this.#registeredOfService(service).filter((server) =>
      mayProcess(allowed, server)
    ).map((server) => ({
      failureDomain: server.failureDomain,
      takesRequests: this.#isAvailable(server),
    }));
    return isServiceEvacuated(servers, this.#evacuatedDomains);
  }

  /** Returns the servers of a service that take new requests or would without an evacuation. */
  ofServiceWithEvacuated(service: string): ReadonlyArray<BackendServerEntry> {
    return this.#registeredOfService(service).filter((server) =>
      this.#isAvailable(server)
    );
  }

  /** Returns the version of the store at which a server's entry was written; 0 without an entry. */
  getRowVersion(identifier: string): number {
    return this.#rowVersions.get(identifier) ?? 0;
  }

  /** Returns the servers of a service that take new requests. */
  ofService(service: string): ReadonlyArray<BackendServerEntry> {
    return this.#byService.get(service) ?? [];
  }

  /** Whether a server is registered or retained and takes new requests. */
  isServing(identifier: string): boolean {
    const server = this.#servers.get(identifier);
    return server !== undefined && this.#takesRequests(server);
  }

  /**
   * Returns the software versions that servers of a service may have had in the last milliseconds.
   * @returns The versions; undefined if the entries were not followed for so long without an outage.
   */
  softwareVersionsSeen(
    service: string,
    milliseconds: number,
  ): ReadonlySet<string> | undefined {
    const since = this.#options.clock.monotonic() - milliseconds;
    if (this.#isFailing || this.#followedSince > since) return undefined;
    const current = this.#registeredOfService(service);
    return new Set([
      ...this.#versionsSeen.listSince(service, since),
      ...current.map(({ softwareVersion }) => softwareVersion),
    ]);
  }

  /**
   * Excludes a start of a server from new requests for good, whatever its entry says. A later start
   * of the server takes requests.
   * @param server - The server that is about to stop.
   * @param notice - How this node learned it.
   */
  markLeaving(server: ServerStart, notice: LeavingNotice): void {
    if (this.#leaving.add(server, notice)) this.#regroupAndNotify();
  }

  /**
   * The servers that are about to stop and whose entry does not say so, whichever node they told. Each
   * node publishes all of them, so that it still knows them after a restart.
   */
  get leavingWithoutEntry(): ReadonlyArray<ServerStart> {
    return this.#leaving.all.filter(({ identifier, startedAt }) => {
      const server = this.#servers.get(identifier);
      return server?.startedAt === startedAt && !server.isDraining;
    });
  }

  #takesRequests(server: BackendServerEntry): boolean {
    return this.#isAvailable(server) && !this.isEvacuated(server);
  }

  #isAvailable(server: BackendServerEntry): boolean {
    return !server.isDraining && !this.#leaving.has(server);
  }

  #registeredOfService(service: string): ReadonlyArray<BackendServerEntry> {
    return [...this.#servers.values()].filter((server) =>
      server.service === service
    );
  }

  /**
   * Returns the last entry of a server that has left; undefined if this node did not follow the
   * entries until then, so that the server may have started again without being seen.
   */
  getDeparted(identifier: string): BackendServerEntry | undefined {
    return this.#departed.get(identifier);
  }

  /** Registers a function that is called after each change. */
  watch(onChange: () => void): void {
    this.#watchers.push(onChange);
  }

  /**
   * Reads the entries until now, within a short time.
   * @returns Whether the view includes all changes that were made before.
   */
  async confirm(): Promise<boolean> {
    const { clock } = this.#options;
    const limit = new AbortController();
    const isConfirmed = await Promise.race([
      this.#follower.confirm(),
      clock.sleep(CONFIRMATION_MILLISECONDS, limit.signal).then(() => false),
    ]);
    limit.abort(ENDED);
    return isConfirmed;
  }

  /** Follows the entries until the node stops. */
  async run(): Promise<void> {
    await this.#follower.run();
  }

  #updateHealth(problem: string | undefined): void {
    const { clock, log, tableName } = this.#options;
    this.#isFailing = problem !== undefined;
    if (problem === undefined) {
      this.#followedSince = clock.monotonic();
      log.emit("storeRegained", { table: tableName });
      return;
    }
    this.#mustRetainMissingServers = true;
    this.#failedAt = clock.monotonic();
    log.emit("storeLost", { table: tableName, reason: problem });
  }

  // Replaces the servers by a snapshot. Entries may expire while the store is unreachable, so after
  // an outage servers without an entry are retained for some time in which they may renew it.
  #replace(rows: ReadonlyArray<StoredRow>): void {
    const previous = this.#servers;
    const now = this.#options.clock.monotonic();
    this.#versionsSeen.record(previous.values(), now);
    this.#servers = new Map();
    for (const row of rows) this.#put(row);
    // Servers that came and left since the last read are not known.
    this.#followedSince = now;
    this.#isLoaded = true;
    if (this.#mustRetainMissingServers) {
      this.#mustRetainMissingServers = false;
      const missing = [...previous].filter(([identifier]) =>
        !this.#servers.has(identifier)
      );
      for (const [identifier, entry] of missing) {
        this.#servers.set(identifier, entry);
        this.#retained.add(identifier);
      }
      void this.#removeRetained();
    }
    this.#regroupAndNotify();
  }

  async #removeRetained(): Promise<void> {
    const { clock, stopping } = this.#options;
    const failedAt = this.#failedAt;
    await clock.sleep(RETENTION_MILLISECONDS, stopping);
    // A later outage restarts the delay.
    if (failedAt !== this.#failedAt) return;
    for (const identifier of this.#retained) this.#servers.delete(identifier);
    this.#retained.clear();
    this.#regroupAndNotify();
  }

  #apply(changes: ReadonlyArray<RowChange>): void {
    for (const change of changes) {
      // Each change may remove a server that the one before has added.
      this.#recordSoftwareVersions(change.key);
      this.#retained.delete(change.key);
      if (change.isDeleted) this.#remove(change.key);
      else this.#put(change);
    }
    this.#isLoaded = true;
    this.#regroupAndNotify();
  }

  #remove(identifier: string): void {
    const entry = this.#servers.get(identifier);
    if (entry !== undefined) this.#departed.set(identifier, entry);
    // The store need not return the entry of a server that came and left between two reads.
    else this.#followedSince = this.#options.clock.monotonic();
    this.#servers.delete(identifier);
  }

  #put({ key, value, version }: StoredRow): void {
    this.#rowVersions.set(key, version);
    const entry = this.#malformed.decode(
      key,
      () => this.#options.readRow(key, value),
    );
    this.#retained.delete(key);
    if (entry !== undefined) {
      this.#departed.delete(key);
      this.#servers.set(key, entry);
      return;
    }
    this.#servers.delete(key);
  }

  #regroupAndNotify(): void {
    for (const identifier of this.#rowVersions.keys()) {
      if (!this.#servers.has(identifier)) this.#rowVersions.delete(identifier);
    }
    const available = [...this.#servers.values()].filter((server) =>
      this.#takesRequests(server)
    );
    this.#byService = groupByService(available);
    if (this.#isLoaded) this.#logEvacuations();
    for (const onChange of this.#watchers) onChange();
  }

  // Not before the first read, as the number of servers is unknown until then.
  #logEvacuations(): void {
    const servers = [...this.#servers.values()];
    this.#evacuationLog.update(
      this.#evacuatedDomains,
      (domain) =>
        servers.filter(({ failureDomain }) => failureDomain === domain).length,
    );
  }

  // Called before each change, as the server that it removes was present until then.
  #recordSoftwareVersions(identifier: string): void {
    const server = this.#servers.get(identifier);
    if (server === undefined) return;
    const now = this.#options.clock.monotonic();
    this.#versionsSeen.record([server], now);
  }
}

function groupByService(
  servers: Iterable<BackendServerEntry>,
): ReadonlyMap<string, ReadonlyArray<BackendServerEntry>> {
  const groups = new Map<string, BackendServerEntry[]>();
  for (const server of servers) {
    const group = groups.get(server.service);
    if (group === undefined) groups.set(server.service, [server]);
    else group.push(server);
  }
  return groups;
}
