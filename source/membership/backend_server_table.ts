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
import type { HeldFact } from "./told_state.ts";

/** Age of the newest good word about a server after which it gets no new work. */
export const SERVER_CONFIDENCE_MILLISECONDS = 10_000;
/** Time for which a server that nobody speaks of any more is kept. */
const FORGOTTEN_MILLISECONDS = 30_000;

type ServerFact = HeldFact<"backendServer">;

const MAXIMUM_LEAVING_STARTS = 16;

interface Entry {
  readonly address: string;
  listed: ListedInstance | undefined;
  /** What each telling node says, by its name and start. */
  readonly told: Map<string, ServerFact>;
  /** Newest of the told facts from a node that reached the server. */
  newest: ServerFact | undefined;
  /** Processes for which there was a notice; no later word takes it back. */
  readonly leavingStarts: Set<string>;
  /** Whether there was a notice while no process was known. */
  hasEarlyNotice: boolean;
  /** Whether this node found it unreachable and has not reached it since. */
  unreachable: boolean;
  spokenOfAt: number;
}

/** What the table needs. */
export interface BackendServerTableOptions {
  readonly store: FactStore;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Called when this node itself has to find out about a server. */
  readonly onUnreachable: (address: string) => void;
  /** Called when this node is the first to know that a server is leaving. */
  readonly onLeaving: (address: string) => void;
}

/**
 * What this node believes of all backend servers, from the platform's list, told facts and its own findings. A
 * notice of leaving holds until another process answers at the address; doubt counts as not available.
 */
export class BackendServerTable implements BackendServerView {
  readonly #options: BackendServerTableOptions;
  readonly #entries = new Map<string, Entry>();
  readonly #byService = new Map<string, Set<Entry>>();

  /** @param options - Sources of word about the servers. */
  constructor(options: BackendServerTableOptions) {
    this.#options = options;
    options.store.watch("backendServer", (fact) => this.#takeFact(fact));
    options.store.watchEnds("backendServer", (fact) => this.#endFact(fact));
  }

  /** Returns all known servers of a service, leaving ones included. */
  servers(service: string): ReadonlyArray<BackendServerState> {
    const entries = this.#byService.get(service) ?? [];
    return Array.from(entries, (entry) => this.#toState(entry));
  }

  /** Returns whether a server may get new work at this moment. */
  isAvailable(address: string): boolean {
    const entry = this.#entries.get(address);
    if (entry === undefined || entry.unreachable) return false;
    return this.#isReachable(entry) && !isLeaving(entry);
  }

  /** Notes that this node found a server unreachable or restarted. */
  noteUnreachable(address: string): void {
    const entry = this.#entries.get(address);
    if (entry === undefined || entry.unreachable) return;
    entry.unreachable = true;
    this.#options.onUnreachable(address);
  }

  /** Notes that this node reached a server. */
  noteReached(address: string): void {
    const entry = this.#entries.get(address);
    if (entry !== undefined) entry.unreachable = false;
  }

  /** Notes that this node got a notice that a server is leaving. */
  noteLeaving(address: string): void {
    this.#takeNotice(this.#open(address), "", "notice");
  }

  /** Returns the addresses of all known servers. */
  addresses(): ReadonlyArray<string> {
    return [...this.#entries.keys()];
  }

  /** Returns whether only the platform's list names a server. */
  isUntold(address: string): boolean {
    return this.#entries.get(address)?.told.size === 0;
  }

  /** Returns a server's service and failure domain, cost and tier, for telling them on. */
  describe(address: string): ServerDescription | undefined {
    const entry = this.#entries.get(address);
    if (entry === undefined) return undefined;
    return {
      service: serviceOf(entry),
      failureDomain: failureDomainOf(entry),
      tier: tierOf(entry),
      microsPerHour: microsOf(entry),
      leaving: isLeaving(entry),
      startIdentity: startOf(entry),
      isListed: entry.listed !== undefined,
    };
  }

  /** Returns the newest fact of any node about a server's process. */
  newestFact(address: string): BackendServerFact | undefined {
    return this.#entries.get(address)?.newest?.value;
  }

  /** Takes a newly read list over. */
  noteListed(instances: ReadonlyArray<ListedInstance>): void {
    const listed = new Set<string>();
    for (const instance of instances) {
      if (instance.kind !== "backendServer") continue;
      listed.add(instance.address);
      const entry = this.#open(instance.address);
      const isNotice = instance.leaving && entry.listed?.leaving !== true;
      this.#setListed(entry, instance);
      if (isNotice) this.#takeNotice(entry, "", "list");
    }
    for (const entry of this.#entries.values()) {
      if (listed.has(entry.address)) continue;
      this.#setListed(entry, undefined);
    }
  }

  /** Drops servers that nobody has spoken of for long. */
  forget(): void {
    const now = this.#options.clock.monotonic();
    for (const entry of this.#entries.values()) {
      const isSpokenOf = entry.listed !== undefined || entry.told.size > 0;
      if (isSpokenOf) entry.spokenOfAt = now;
      if (now - entry.spokenOfAt < FORGOTTEN_MILLISECONDS) continue;
      this.#entries.delete(entry.address);
      this.#byService.get(serviceOf(entry))?.delete(entry);
    }
  }

  #open(address: string): Entry {
    const known = this.#entries.get(address);
    if (known !== undefined) return known;
    const entry: Entry = {
      address,
      listed: undefined,
      told: new Map(),
      newest: undefined,
      leavingStarts: new Set(),
      hasEarlyNotice: false,
      unreachable: false,
      spokenOfAt: this.#options.clock.monotonic(),
    };
    this.#entries.set(address, entry);
    return entry;
  }

  #setListed(entry: Entry, listed: ListedInstance | undefined): void {
    const before = serviceOf(entry);
    entry.listed = listed;
    this.#index(entry, before);
  }

  #index(entry: Entry, before: string): void {
    const service = serviceOf(entry);
    if (service !== before) this.#byService.get(before)?.delete(entry);
    const ofService = this.#byService.get(service) ?? new Set<Entry>();
    this.#byService.set(service, ofService);
    ofService.add(entry);
  }

  #takeFact(fact: ServerFact): void {
    const entry = this.#open(fact.key);
    const before = serviceOf(entry);
    entry.told.set(`${fact.origin}\n${fact.originStart}`, fact);
    if (fact.value.reachable) entry.newest = fact;
    this.#index(entry, before);
    const { leaving, startIdentity } = fact.value;
    if (leaving) this.#takeNotice(entry, startIdentity, "peer");
    this.#settleEarlyNotice(entry, startIdentity);
  }

  /** A notice that named no process is for the first one that becomes known. */
  #settleEarlyNotice(entry: Entry, start: string): void {
    if (!entry.hasEarlyNotice || start === "") return;
    entry.hasEarlyNotice = false;
    noteLeavingStart(entry, start);
  }

  #endFact(fact: ServerFact): void {
    const entry = this.#entries.get(fact.key);
    if (entry === undefined) return;
    const before = serviceOf(entry);
    entry.told.delete(`${fact.origin}\n${fact.originStart}`);
    if (entry.newest === fact) entry.newest = newestOf(entry);
    entry.spokenOfAt = this.#options.clock.monotonic();
    this.#index(entry, before);
  }

  #takeNotice(entry: Entry, start: string, learnedFrom: string): void {
    const known = start === "" ? startOf(entry) : start;
    const isRepeated = known === ""
      ? entry.hasEarlyNotice
      : entry.leavingStarts.has(known);
    if (isRepeated) return;
    if (known === "") entry.hasEarlyNotice = true;
    else noteLeavingStart(entry, known);
    const { address } = entry;
    this.#options.log.emit("backendServerLeaving", {
      server: address,
      learnedFrom,
    });
    if (learnedFrom !== "peer") this.#options.onLeaving(address);
  }

  /** A server counts as reachable while a live node says so; its word is as old as the node's last sign of life. */
  #isReachable(entry: Entry): boolean {
    const { store } = this.#options;
    for (const { value, origin, originStart } of entry.told.values()) {
      if (!value.reachable) continue;
      const age = store.originAge(origin, originStart);
      if (age <= SERVER_CONFIDENCE_MILLISECONDS) return true;
    }
    return false;
  }

  #toState(entry: Entry): BackendServerState {
    const { store, clock } = this.#options;
    const value = entry.newest?.value;
    let dispatchedByPeers = 0;
    for (const fact of entry.told.values()) {
      if (store.originAge(fact.origin, fact.originStart) === 0) continue;
      dispatchedByPeers += fact.value.dispatched;
    }
    return {
      address: entry.address,
      service: serviceOf(entry),
      failureDomain: failureDomainOf(entry),
      tier: tierOf(entry),
      startIdentity: value?.startIdentity ?? "",
      leaving: isLeaving(entry),
      reachable: !entry.unreachable && this.#isReachable(entry),
      running: value?.running ?? 0,
      waiting: value?.waiting ?? 0,
      loadAgeMilliseconds: entry.newest === undefined
        ? Infinity
        : clock.monotonic() - entry.newest.heardAt,
      cacheFreePermille: value?.cacheFreePermille ?? 0,
      weightVersions: (value?.weightVersions ?? []).map(Number),
      dispatchedByPeers,
      tokensPerSecond: value?.tokensPerSecond ?? 0,
      microsPerHour: microsOf(entry),
    };
  }
}

/** What does not change while a server's process lives, and whether it is leaving. */
export interface ServerDescription {
  readonly service: string;
  readonly failureDomain: string;
  readonly tier: Tier;
  readonly microsPerHour: number;
  readonly leaving: boolean;
  readonly startIdentity: string;
  readonly isListed: boolean;
}

/** Unsure which of several processes runs there now, a notice for any of them counts. */
function isLeaving(entry: Entry): boolean {
  if (entry.listed?.leaving === true || entry.hasEarlyNotice) return true;
  for (const { value } of entry.told.values()) {
    if (value.leaving || entry.leavingStarts.has(value.startIdentity)) {
      return true;
    }
  }
  return false;
}

function noteLeavingStart(entry: Entry, start: string): void {
  entry.leavingStarts.add(start);
  if (entry.leavingStarts.size <= MAXIMUM_LEAVING_STARTS) return;
  const [oldest] = entry.leavingStarts;
  if (oldest !== undefined) entry.leavingStarts.delete(oldest);
}

function startOf(entry: Entry): string {
  return entry.newest?.value.startIdentity ?? "";
}

function newestOf(entry: Entry): ServerFact | undefined {
  let newest: ServerFact | undefined;
  for (const fact of entry.told.values()) {
    if (!fact.value.reachable || fact.value.startIdentity === "") continue;
    if (newest === undefined || fact.heardAt > newest.heardAt) newest = fact;
  }
  return newest;
}

function anyTold(entry: Entry): BackendServerFact | undefined {
  const [first] = entry.told.values();
  return first?.value;
}

function serviceOf(entry: Entry): string {
  return entry.listed?.service ?? anyTold(entry)?.service ?? "";
}

function failureDomainOf(entry: Entry): string {
  return entry.listed?.failureDomain ?? anyTold(entry)?.failureDomain ?? "";
}

function tierOf(entry: Entry): Tier {
  if (entry.listed !== undefined) return entry.listed.tier;
  return anyTold(entry)?.tier === "cheap" ? "cheap" : "steady";
}

function microsOf(entry: Entry): number {
  const told = Number(anyTold(entry)?.microsPerHour ?? 0n);
  return entry.listed?.microsPerHour ?? told;
}
