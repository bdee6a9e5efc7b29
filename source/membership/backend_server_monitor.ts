import { create } from "@bufbuild/protobuf";
import {
  type BackendServerFact,
  BackendServerFactSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { EngineClient, EngineLoad } from "../backends/engine_client.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { BackendServerTable } from "./backend_server_table.ts";
import type { FactStore } from "./fact_store.ts";
import { hasChangedByStep, quantiseLoad } from "./load_quantisation.ts";
import type { Rendezvous } from "./rendezvous.ts";

/** Number of nodes that monitor each backend server. */
export const MONITORS_PER_SERVER = 3;
/**
 * Average interval between two load requests to one server, across all nodes that monitor the
 * server.
 */
export const LOAD_INTERVAL_MILLISECONDS = 1000;
const RETRY_MILLISECONDS = 250;
const MAXIMUM_PROBE_INTERVAL_MILLISECONDS = 5000;
const ASSIGNMENT_INTERVAL_MILLISECONDS = 1000;
const UNMONITORED_FACT_LIFETIME_MILLISECONDS = 60_000;
/**
 * Minimum delay before this node announces to its peers a server that only the instance list
 * contains.
 */
const MINIMUM_ANNOUNCEMENT_DELAY_MILLISECONDS = 3000;

/** Options of a backend server monitor. */
export interface BackendServerMonitorOptions {
  readonly context: NodeContext;
  readonly store: FactStore;
  readonly engines: EngineClient;
  readonly rendezvous: Rendezvous;
  readonly table: () => BackendServerTable;
  /**
   * Returns the names of the nodes among which the monitoring of servers is divided, this node
   * included.
   */
  readonly nodes: () => ReadonlyArray<string>;
  /** Returns the number of requests that this node has running on a server. */
  readonly dispatched: (address: string) => number;
}

/** Monitors the backend servers that rendezvous hashing assigns to this node and publishes their changes. */
export class BackendServerMonitor {
  readonly #options: BackendServerMonitorOptions;
  readonly #monitored = new Map<string, AbortController>();
  readonly #probing = new Set<string>();
  /**
   * Monotonic time at which this node retracts its fact about a server that it doesn't monitor, in
   * milliseconds, by the server's address.
   */
  readonly #unmonitoredFactExpiries = new Map<string, number>();
  /**
   * Monotonic time at which this node announces a server that only the instance list contains, in
   * milliseconds, by the server's address.
   */
  readonly #announcementTimes = new Map<string, number>();
  #assignmentInputs = "";

  /** @param options - Sources of servers and nodes, and the store that publishes the facts. */
  constructor(options: BackendServerMonitorOptions) {
    this.#options = options;
  }

  /** Updates the set of monitored servers until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options.context;
    while (!stopping.aborted) {
      this.#updateAssignments();
      this.#announceListed();
      this.#retractExpired();
      this.#options.table().removeUnreferenced();
      await clock.sleep(ASSIGNMENT_INTERVAL_MILLISECONDS, stopping);
    }
    for (const monitoring of this.#monitored.values()) monitoring.abort();
  }

  /**
   * Publishes that a server is draining, after this node received a drain notice for the server.
   */
  publishDraining(address: string): void {
    const { clock } = this.#options.context;
    if (!this.#monitored.has(address)) {
      const expiresAt = clock.monotonic() +
        UNMONITORED_FACT_LIFETIME_MILLISECONDS;
      this.#unmonitoredFactExpiries.set(address, expiresAt);
    }
    const ownFact = this.#ownFact(address);
    this.#publish(address, {
      ...(ownFact ?? this.#createFact(address)),
      leaving: true,
    });
  }

  /** Requests the load of a server with exponential backoff until the server responds or is removed. */
  async probe(address: string): Promise<void> {
    if (this.#probing.has(address)) return;
    this.#probing.add(address);
    const { clock, stopping } = this.#options.context;
    let pauseMilliseconds = RETRY_MILLISECONDS;
    while (!stopping.aborted && this.#isInTable(address)) {
      const load = await this.#requestLoad(address, stopping);
      if (load !== undefined) {
        this.#options.table().markReached(address);
        break;
      }
      await clock.sleep(pauseMilliseconds, stopping);
      pauseMilliseconds = Math.min(
        2 * pauseMilliseconds,
        MAXIMUM_PROBE_INTERVAL_MILLISECONDS,
      );
    }
    this.#probing.delete(address);
  }

  #isInTable(address: string): boolean {
    return this.#options.table().describe(address) !== undefined;
  }

  #updateAssignments(): void {
    const nodes = this.#options.nodes();
    const addresses = this.#options.table().addresses();
    const assignmentInputs = JSON.stringify([nodes, addresses]);
    if (assignmentInputs === this.#assignmentInputs) return;
    this.#assignmentInputs = assignmentInputs;
    const known = new Set(addresses);
    for (const address of addresses) {
      const isAssigned = this.#isAssignedToThisNode(address, nodes);
      if (isAssigned && !this.#monitored.has(address)) {
        this.#startMonitoring(address);
      }
      if (!isAssigned && this.#monitored.has(address)) {
        this.#stopMonitoring(address);
      }
    }
    for (const address of this.#monitored.keys()) {
      if (!known.has(address)) this.#stopMonitoring(address);
    }
  }

  #isAssignedToThisNode(
    address: string,
    nodes: ReadonlyArray<string>,
  ): boolean {
    const { rendezvous, context } = this.#options;
    const ownScore = rendezvous.score(address, context.settings.node);
    let higherScoreCount = 0;
    for (const node of nodes) {
      if (rendezvous.score(address, node) > ownScore) higherScoreCount += 1;
      if (higherScoreCount >= MONITORS_PER_SERVER) return false;
    }
    return true;
  }

  #startMonitoring(address: string): void {
    const monitoring = new AbortController();
    this.#monitored.set(address, monitoring);
    this.#unmonitoredFactExpiries.delete(address);
    void this.#monitor(address, monitoring.signal);
  }

  #stopMonitoring(address: string): void {
    this.#monitored.get(address)?.abort();
    this.#monitored.delete(address);
    this.#options.store.retract("backendServer", address);
  }

  /** Monitors one server until the signal aborts or the node stops. */
  async #monitor(address: string, signal: AbortSignal): Promise<void> {
    const { clock, random, stopping } = this.#options.context;
    const stopSignal = AbortSignal.any([signal, stopping]);
    let failureCount = 0;
    await clock.sleep(random.next() * RETRY_MILLISECONDS, stopSignal);
    while (!stopSignal.aborted) {
      const load = await this.#requestLoad(address, stopSignal);
      if (stopSignal.aborted) return;
      failureCount = load === undefined ? failureCount + 1 : 0;
      if (load !== undefined) this.#handleLoad(address, load);
      else if (failureCount > 1) this.#handleFailure(address);
      const pauseMilliseconds = failureCount === 1
        ? RETRY_MILLISECONDS
        : this.#nextIntervalMilliseconds();
      await clock.sleep(pauseMilliseconds, stopSignal);
    }
  }

  #nextIntervalMilliseconds(): number {
    const { random } = this.#options.context;
    const monitorCount = Math.min(
      MONITORS_PER_SERVER,
      this.#options.nodes().length,
    );
    const jitter = 0.9 + 0.2 * random.next();
    return monitorCount * LOAD_INTERVAL_MILLISECONDS * jitter;
  }

  #requestLoad(
    address: string,
    signal: AbortSignal,
  ): Promise<EngineLoad | undefined> {
    const { engines, context } = this.#options;
    const silenceMilliseconds = context.settings.silenceMilliseconds;
    return engines.readLoad(address, { signal, silenceMilliseconds });
  }

  #handleLoad(address: string, load: EngineLoad): void {
    const table = this.#options.table();
    table.markReached(address);
    const wasDraining = table.describe(address)?.leaving === true;
    const ownFact = this.#ownFact(address);
    const isSameIncarnation = ownFact?.startIdentity === load.startIdentity;
    const isKnownIncarnation =
      table.describe(address)?.startIdentity === load.startIdentity;
    const fact: BackendServerFact = {
      ...this.#createFact(address),
      ...quantiseLoad(load),
      startIdentity: load.startIdentity,
      weightVersions: load.weightVersions.map(BigInt),
      leaving: load.leaving || (wasDraining && isKnownIncarnation),
      reachable: true,
      dispatched: this.#options.dispatched(address),
    };
    const hasStateChanged = ownFact === undefined || !isSameIncarnation ||
      !ownFact.reachable ||
      ownFact.leaving !== fact.leaving || !hasSameVersions(ownFact, fact);
    const newestFact = table.newestFact(address) ?? ownFact;
    if (
      hasStateChanged || newestFact === undefined ||
      hasChangedByStep(newestFact, load)
    ) {
      this.#publish(address, fact);
    }
  }

  #handleFailure(address: string): void {
    const ownFact = this.#ownFact(address);
    if (ownFact?.reachable === false) return;
    this.#publish(address, {
      ...(ownFact ?? this.#createFact(address)),
      reachable: false,
    });
  }

  /**
   * Announces each server that only the instance list contains, so that the nodes that must monitor
   * the server receive its address.
   */
  #announceListed(): void {
    const { clock, random } = this.#options.context;
    const table = this.#options.table();
    const now = clock.monotonic();
    for (const address of table.addresses()) {
      const isAnnounced = !table.isOnlyListed(address);
      if (isAnnounced || this.#monitored.has(address)) {
        this.#announcementTimes.delete(address);
        continue;
      }
      const delay = MINIMUM_ANNOUNCEMENT_DELAY_MILLISECONDS *
        (1 + 2 * random.next());
      const announceAt = this.#announcementTimes.get(address) ?? now + delay;
      this.#announcementTimes.set(address, announceAt);
      if (now < announceAt) continue;
      this.#unmonitoredFactExpiries.set(
        address,
        now + UNMONITORED_FACT_LIFETIME_MILLISECONDS,
      );
      this.#publish(address, this.#createFact(address));
    }
  }

  #retractExpired(): void {
    const { clock } = this.#options.context;
    for (const [address, expiresAt] of this.#unmonitoredFactExpiries) {
      if (clock.monotonic() < expiresAt) continue;
      this.#unmonitoredFactExpiries.delete(address);
      this.#options.store.retract("backendServer", address);
    }
  }

  #createFact(address: string): BackendServerFact {
    const description = this.#options.table().describe(address);
    return create(BackendServerFactSchema, {
      service: description?.service ?? "",
      failureDomain: description?.failureDomain ?? "",
      tier: description?.tier ?? "steady",
      microsPerHour: BigInt(description?.microsPerHour ?? 0),
      startIdentity: description?.startIdentity ?? "",
      leaving: description?.leaving ?? false,
    });
  }

  #ownFact(address: string): BackendServerFact | undefined {
    return this.#options.store.ownValue("backendServer", address);
  }

  #publish(address: string, fact: BackendServerFact): void {
    this.#options.store.publish("backendServer", address, fact);
  }
}

function hasSameVersions(
  left: BackendServerFact,
  right: BackendServerFact,
): boolean {
  return left.weightVersions.length === right.weightVersions.length &&
    left.weightVersions.every((version, index) =>
      version === right.weightVersions[index]
    );
}
