import type { BackendServerFact } from "../../generated/snipepath/v1/peer_pb.ts";
import type {
  BackendServerState,
  BackendServerView,
} from "../backends/backend_server_state.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { ListedInstance } from "../platform/instance_list_client.ts";
import type { Tier } from "../platform/orders_client.ts";
import type { Clock } from "../utilities/clock.ts";
import type { FactStore } from "./fact_store.ts";
import type { HeldFact } from "./replicated_facts.ts";

/**
 * Time since the last fact or heartbeat of a node after which the node's reports that servers are
 * reachable expire; a server without an unexpired report receives no new work.
 */
export const REACHABILITY_LIFETIME_MILLISECONDS = 10_000;
/** Time for which the table retains a server that neither the instance list nor any fact contains. */
const UNREFERENCED_RETENTION_MILLISECONDS = 30_000;

type ServerFact = HeldFact<"backendServer">;

/**
 * Maximum number of draining incarnations retained for one server; above it, the oldest is removed.
 */
const MAXIMUM_DRAINING_INCARNATIONS = 16;

interface Entry {
  readonly address: string;
  listed: ListedInstance | undefined;
  /** Fact that each node publishes about the server, by the node's name and start identity. */
  readonly facts: Map<string, ServerFact>;
  /** Newest of the facts whose origin reached the server. */
  newestReachable: ServerFact | undefined;
  /** Incarnations for which a drain notice was received; no later fact revokes a notice. */
  readonly drainingIncarnations: Set<string>;
  /** Whether a drain notice was received while no incarnation was known. */
  hasPendingNotice: boolean;
  /** Whether this node found the server unreachable and has not reached it since. */
  unreachable: boolean;
  /** Monotonic time at which the instance list or a fact last contained the server, in milliseconds. */
  referencedAt: number;
}

/** Options of a backend server table. */
export interface BackendServerTableOptions {
  readonly store: FactStore;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Called when this node found a server unreachable and must probe it. */
  readonly onUnreachable: (address: string) => void;
  /** Called when this node received a new drain notice from another source than a peer's fact. */
  readonly onDrainNotice: (address: string) => void;
}

/**
 * Combines the state of all backend servers from the platform's instance list, the facts of all
 * nodes and this node's own requests. A drain notice holds until another incarnation of the server
 * responds at the address; a server that no live node reports as reachable counts as unavailable.
 */
export class BackendServerTable implements BackendServerView {
  readonly #options: BackendServerTableOptions;
  readonly #entries = new Map<string, Entry>();
  readonly #byService = new Map<string, Set<Entry>>();

  /** @param options - Store of the facts, clock, log and callbacks. */
  constructor(options: BackendServerTableOptions) {
    this.#options = options;
    options.store.watch("backendServer", (fact) => this.#applyFact(fact));
    options.store.watchRemovals(
      "backendServer",
      (fact) => this.#removeFact(fact),
    );
  }

  /** Returns all known servers of a service, draining ones included. */
  servers(service: string): ReadonlyArray<BackendServerState> {
    const entries = this.#byService.get(service) ?? [];
    return Array.from(entries, (entry) => this.#toState(entry));
  }

  /** Returns whether a server may receive new work. */
  isAvailable(address: string): boolean {
    const entry = this.#entries.get(address);
    if (entry === undefined || entry.unreachable) return false;
    return this.#isReachable(entry) && !isDraining(entry);
  }

  /**
   * Records that this node found a server unreachable or restarted, and requests that it be probed.
   */
  markUnreachable(address: string): void {
    const entry = this.#entries.get(address);
    if (entry === undefined || entry.unreachable) return;
    entry.unreachable = true;
    this.#options.onUnreachable(address);
  }

  /** Records that this node reached a server. */
  markReached(address: string): void {
    const entry = this.#entries.get(address);
    if (entry !== undefined) entry.unreachable = false;
  }

  /** Records that this node received a drain notice for a server. */
  markLeaving(address: string): void {
    this.#applyDrainNotice(this.#getOrCreate(address), "", "notice");
  }

  /** Returns the addresses of all known servers. */
  addresses(): ReadonlyArray<string> {
    return [...this.#entries.keys()];
  }

  /** Returns whether only the platform's instance list contains a server. */
  isOnlyListed(address: string): boolean {
    return this.#entries.get(address)?.facts.size === 0;
  }

  /**
   * Returns the description of a server for the facts that this node publishes; undefined for an
   * unknown server.
   */
  describe(address: string): ServerDescription | undefined {
    const entry = this.#entries.get(address);
    if (entry === undefined) return undefined;
    return {
      service: serviceOf(entry),
      failureDomain: failureDomainOf(entry),
      tier: tierOf(entry),
      microsPerHour: microsPerHourOf(entry),
      leaving: isDraining(entry),
      startIdentity: incarnationOf(entry),
      isListed: entry.listed !== undefined,
    };
  }

  /** Returns the newest fact whose origin reached a server; undefined when there is none. */
  newestFact(address: string): BackendServerFact | undefined {
    return this.#entries.get(address)?.newestReachable?.value;
  }

  /** Applies a new version of the platform's instance list. */
  applyInstanceList(instances: ReadonlyArray<ListedInstance>): void {
    const listed = new Set<string>();
    for (const instance of instances) {
      if (instance.kind !== "backendServer") continue;
      listed.add(instance.address);
      const entry = this.#getOrCreate(instance.address);
      const isNotice = instance.leaving && entry.listed?.leaving !== true;
      this.#setListed(entry, instance);
      if (isNotice) this.#applyDrainNotice(entry, "", "list");
    }
    for (const entry of this.#entries.values()) {
      if (listed.has(entry.address)) continue;
      this.#setListed(entry, undefined);
    }
  }

  /** Removes the servers that neither the instance list nor any fact has contained for the retention time. */
  removeUnreferenced(): void {
    const now = this.#options.clock.monotonic();
    for (const entry of this.#entries.values()) {
      const isReferenced = entry.listed !== undefined || entry.facts.size > 0;
      if (isReferenced) entry.referencedAt = now;
      if (now - entry.referencedAt < UNREFERENCED_RETENTION_MILLISECONDS) {
        continue;
      }
      this.#entries.delete(entry.address);
      this.#byService.get(serviceOf(entry))?.delete(entry);
    }
  }

  #getOrCreate(address: string): Entry {
    const known = this.#entries.get(address);
    if (known !== undefined) return known;
    const entry: Entry = {
      address,
      listed: undefined,
      facts: new Map(),
      newestReachable: undefined,
      drainingIncarnations: new Set(),
      hasPendingNotice: false,
      unreachable: false,
      referencedAt: this.#options.clock.monotonic(),
    };
    this.#entries.set(address, entry);
    return entry;
  }

  #setListed(entry: Entry, listed: ListedInstance | undefined): void {
    const previousService = serviceOf(entry);
    entry.listed = listed;
    this.#updateServiceIndex(entry, previousService);
  }

  #updateServiceIndex(entry: Entry, previousService: string): void {
    const service = serviceOf(entry);
    if (service !== previousService) {
      this.#byService.get(previousService)?.delete(entry);
    }
    const ofService = this.#byService.get(service) ?? new Set<Entry>();
    this.#byService.set(service, ofService);
    ofService.add(entry);
  }

  #applyFact(fact: ServerFact): void {
    const entry = this.#getOrCreate(fact.key);
    const previousService = serviceOf(entry);
    entry.facts.set(`${fact.origin}\n${fact.originStart}`, fact);
    if (fact.value.reachable) entry.newestReachable = fact;
    this.#updateServiceIndex(entry, previousService);
    const { leaving, startIdentity } = fact.value;
    if (leaving) this.#applyDrainNotice(entry, startIdentity, "peer");
    this.#assignPendingNotice(entry, startIdentity);
  }

  /** Applies a drain notice that named no incarnation to the first incarnation that becomes known. */
  #assignPendingNotice(entry: Entry, incarnation: string): void {
    if (!entry.hasPendingNotice || incarnation === "") return;
    entry.hasPendingNotice = false;
    addDrainingIncarnation(entry, incarnation);
  }

  #removeFact(fact: ServerFact): void {
    const entry = this.#entries.get(fact.key);
    if (entry === undefined) return;
    const previousService = serviceOf(entry);
    entry.facts.delete(`${fact.origin}\n${fact.originStart}`);
    if (entry.newestReachable === fact) {
      entry.newestReachable = findNewestReachable(entry);
    }
    entry.referencedAt = this.#options.clock.monotonic();
    this.#updateServiceIndex(entry, previousService);
  }

  #applyDrainNotice(entry: Entry, start: string, learnedFrom: string): void {
    const incarnation = start === "" ? incarnationOf(entry) : start;
    const isRepeated = incarnation === ""
      ? entry.hasPendingNotice
      : entry.drainingIncarnations.has(incarnation);
    if (isRepeated) return;
    if (incarnation === "") entry.hasPendingNotice = true;
    else addDrainingIncarnation(entry, incarnation);
    const { address } = entry;
    this.#options.log.emit("backendServerLeaving", {
      server: address,
      learnedFrom,
    });
    if (learnedFrom !== "peer") this.#options.onDrainNotice(address);
  }

  /**
   * Returns whether a live node reports the server as reachable; a report's age counts from its
   * node's last heartbeat.
   */
  #isReachable(entry: Entry): boolean {
    const { store } = this.#options;
    for (const { value, origin, originStart } of entry.facts.values()) {
      if (!value.reachable) continue;
      const age = store.originAgeMilliseconds(origin, originStart);
      if (age <= REACHABILITY_LIFETIME_MILLISECONDS) return true;
    }
    return false;
  }

  #toState(entry: Entry): BackendServerState {
    const { store, clock } = this.#options;
    const value = entry.newestReachable?.value;
    let dispatchedByPeers = 0;
    for (const fact of entry.facts.values()) {
      if (store.originAgeMilliseconds(fact.origin, fact.originStart) === 0) {
        continue;
      }
      dispatchedByPeers += fact.value.dispatched;
    }
    return {
      address: entry.address,
      service: serviceOf(entry),
      failureDomain: failureDomainOf(entry),
      tier: tierOf(entry),
      startIdentity: value?.startIdentity ?? "",
      leaving: isDraining(entry),
      reachable: !entry.unreachable && this.#isReachable(entry),
      running: value?.running ?? 0,
      waiting: value?.waiting ?? 0,
      loadAgeMilliseconds: entry.newestReachable === undefined
        ? Infinity
        : clock.monotonic() - entry.newestReachable.receivedAt,
      cacheFreePermille: value?.cacheFreePermille ?? 0,
      weightVersions: (value?.weightVersions ?? []).map(Number),
      dispatchedByPeers,
      tokensPerSecond: value?.tokensPerSecond ?? 0,
      microsPerHour: microsPerHourOf(entry),
    };
  }
}

/**
 * Properties of a server, its last known incarnation, and whether it is draining and in the
 * instance list.
 */
export interface ServerDescription {
  readonly service: string;
  readonly failureDomain: string;
  readonly tier: Tier;
  readonly microsPerHour: number;
  readonly leaving: boolean;
  readonly startIdentity: string;
  readonly isListed: boolean;
}

/**
 * Returns whether a server is draining: the instance list lists it as leaving, a drain notice is
 * not assigned to an incarnation yet, or a notice applies to any of the incarnations in the facts.
 */
function isDraining(entry: Entry): boolean {
  if (entry.listed?.leaving === true || entry.hasPendingNotice) return true;
  for (const { value } of entry.facts.values()) {
    if (value.leaving || entry.drainingIncarnations.has(value.startIdentity)) {
      return true;
    }
  }
  return false;
}

function addDrainingIncarnation(entry: Entry, incarnation: string): void {
  entry.drainingIncarnations.add(incarnation);
  if (entry.drainingIncarnations.size <= MAXIMUM_DRAINING_INCARNATIONS) return;
  const [oldest] = entry.drainingIncarnations;
  if (oldest !== undefined) entry.drainingIncarnations.delete(oldest);
}

function incarnationOf(entry: Entry): string {
  return entry.newestReachable?.value.startIdentity ?? "";
}

function findNewestReachable(entry: Entry): ServerFact | undefined {
  let newestReachable: ServerFact | undefined;
  for (const fact of entry.facts.values()) {
    if (!fact.value.reachable || fact.value.startIdentity === "") continue;
    if (
      newestReachable === undefined ||
      fact.receivedAt > newestReachable.receivedAt
    ) newestReachable = fact;
  }
  return newestReachable;
}

function firstFact(entry: Entry): BackendServerFact | undefined {
  const [first] = entry.facts.values();
  return first?.value;
}

function serviceOf(entry: Entry): string {
  return entry.listed?.service ?? firstFact(entry)?.service ?? "";
}

function failureDomainOf(entry: Entry): string {
  return entry.listed?.failureDomain ?? firstFact(entry)?.failureDomain ?? "";
}

function tierOf(entry: Entry): Tier {
  if (entry.listed !== undefined) return entry.listed.tier;
  return firstFact(entry)?.tier === "cheap" ? "cheap" : "steady";
}

function microsPerHourOf(entry: Entry): number {
  const published = Number(firstFact(entry)?.microsPerHour ?? 0n);
  return entry.listed?.microsPerHour ?? published;
}
