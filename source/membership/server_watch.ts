import { create } from "@bufbuild/protobuf";
import {
  type BackendServerFact,
  BackendServerFactSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { EngineClient, EngineLoad } from "../backends/engine_client.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { BackendServerTable } from "./backend_server_table.ts";
import type { FactStore } from "./fact_store.ts";
import { hasMoved, quantiseLoad } from "./load_quantisation.ts";
import type { Rendezvous } from "./rendezvous.ts";

/** Nodes that watch each backend server. */
export const WATCHERS = 3;
/** Time between two load reports of one server, taken by its watchers in turn. */
export const REPORT_INTERVAL_MILLISECONDS = 1000;
const RETRY_MILLISECONDS = 250;
const MAXIMUM_PROBE_INTERVAL_MILLISECONDS = 5000;
const CHOICE_INTERVAL_MILLISECONDS = 1000;
const NOTICE_KEPT_MILLISECONDS = 60_000;
/** Time for which a server may be listed only before this node tells the others of it. */
const INTRODUCTION_DELAY_MILLISECONDS = 3000;

/** What watching needs. */
export interface ServerWatchOptions {
  readonly context: NodeContext;
  readonly store: FactStore;
  readonly engines: EngineClient;
  readonly rendezvous: Rendezvous;
  readonly table: () => BackendServerTable;
  /** Names of the live nodes that stay, this one included. */
  readonly nodes: () => ReadonlyArray<string>;
  /** Requests that this node has running at a server. */
  readonly dispatched: (address: string) => number;
}

/** Watches the backend servers that fall to this node and tells what changes. */
export class ServerWatch {
  readonly #options: ServerWatchOptions;
  readonly #watched = new Map<string, AbortController>();
  readonly #probed = new Set<string>();
  /** Servers spoken of without watching them, with the time until which that is kept. */
  readonly #notices = new Map<string, number>();
  /** Servers that only the list names, with the time at which they are told. */
  readonly #introductions = new Map<string, number>();
  #chosenFor = "";

  /** @param options - What to watch with. */
  constructor(options: ServerWatchOptions) {
    this.#options = options;
  }

  /** Keeps the set of watched servers right until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options.context;
    while (!stopping.aborted) {
      this.#choose();
      this.#introduceListed();
      this.#dropNotices();
      this.#options.table().forget();
      await clock.sleep(CHOICE_INTERVAL_MILLISECONDS, stopping);
    }
    for (const watch of this.#watched.values()) watch.abort();
  }

  /** Tells a notice of leaving that this node got. */
  tellLeaving(address: string): void {
    const { clock } = this.#options.context;
    if (!this.#watched.has(address)) {
      const until = clock.monotonic() + NOTICE_KEPT_MILLISECONDS;
      this.#notices.set(address, until);
    }
    const own = this.#ownFact(address);
    this.#tell(address, {
      ...(own ?? this.#describe(address)),
      leaving: true,
    });
  }

  /** Asks a server itself until it answers again or is forgotten. */
  async probe(address: string): Promise<void> {
    if (this.#probed.has(address)) return;
    this.#probed.add(address);
    const { clock, stopping } = this.#options.context;
    let pause = RETRY_MILLISECONDS;
    while (!stopping.aborted && this.#isKnown(address)) {
      const load = await this.#load(address, stopping);
      if (load !== undefined) {
        this.#options.table().noteReached(address);
        break;
      }
      await clock.sleep(pause, stopping);
      pause = Math.min(2 * pause, MAXIMUM_PROBE_INTERVAL_MILLISECONDS);
    }
    this.#probed.delete(address);
  }

  #isKnown(address: string): boolean {
    return this.#options.table().describe(address) !== undefined;
  }

  #choose(): void {
    const nodes = this.#options.nodes();
    const addresses = this.#options.table().addresses();
    const chosenFor = JSON.stringify([nodes, addresses]);
    if (chosenFor === this.#chosenFor) return;
    this.#chosenFor = chosenFor;
    const known = new Set(addresses);
    for (const address of addresses) {
      const falls = this.#fallsToThisNode(address, nodes);
      if (falls && !this.#watched.has(address)) this.#start(address);
      if (!falls && this.#watched.has(address)) this.#stop(address);
    }
    for (const address of this.#watched.keys()) {
      if (!known.has(address)) this.#stop(address);
    }
  }

  #fallsToThisNode(address: string, nodes: ReadonlyArray<string>): boolean {
    const { rendezvous, context } = this.#options;
    const own = rendezvous.score(address, context.settings.node);
    let better = 0;
    for (const node of nodes) {
      if (rendezvous.score(address, node) > own) better += 1;
      if (better >= WATCHERS) return false;
    }
    return true;
  }

  #start(address: string): void {
    const watch = new AbortController();
    this.#watched.set(address, watch);
    this.#notices.delete(address);
    void this.#watch(address, watch.signal);
  }

  #stop(address: string): void {
    this.#watched.get(address)?.abort();
    this.#watched.delete(address);
    this.#options.store.retract("backendServer", address);
  }

  /** Watches one server until it falls to other nodes. */
  async #watch(address: string, signal: AbortSignal): Promise<void> {
    const { clock, random, stopping } = this.#options.context;
    const ending = AbortSignal.any([signal, stopping]);
    let failures = 0;
    await clock.sleep(random.next() * RETRY_MILLISECONDS, ending);
    while (!ending.aborted) {
      const load = await this.#load(address, ending);
      if (ending.aborted) return;
      failures = load === undefined ? failures + 1 : 0;
      if (load !== undefined) this.#takeLoad(address, load);
      else if (failures > 1) this.#takeFailure(address);
      const pause = failures === 1 ? RETRY_MILLISECONDS : this.#pause();
      await clock.sleep(pause, ending);
    }
  }

  #pause(): number {
    const { random } = this.#options.context;
    const watchers = Math.min(WATCHERS, this.#options.nodes().length);
    const jitter = 0.9 + 0.2 * random.next();
    return watchers * REPORT_INTERVAL_MILLISECONDS * jitter;
  }

  #load(
    address: string,
    signal: AbortSignal,
  ): Promise<EngineLoad | undefined> {
    const { engines, context } = this.#options;
    const silenceMilliseconds = context.settings.silenceMilliseconds;
    return engines.load(address, { signal, silenceMilliseconds });
  }

  #takeLoad(address: string, load: EngineLoad): void {
    const table = this.#options.table();
    table.noteReached(address);
    const wasLeaving = table.describe(address)?.leaving === true;
    const own = this.#ownFact(address);
    const isSameProcess = own?.startIdentity === load.startIdentity;
    const isKnownProcess =
      table.describe(address)?.startIdentity === load.startIdentity;
    const fact: BackendServerFact = {
      ...this.#describe(address),
      ...quantiseLoad(load),
      startIdentity: load.startIdentity,
      weightVersions: load.weightVersions.map(BigInt),
      leaving: load.leaving || (wasLeaving && isKnownProcess),
      reachable: true,
      dispatched: this.#options.dispatched(address),
    };
    const isNew = own === undefined || !isSameProcess || !own.reachable ||
      own.leaving !== fact.leaving || !hasSameVersions(own, fact);
    const newest = table.newestFact(address) ?? own;
    if (isNew || newest === undefined || hasMoved(newest, load)) {
      this.#tell(address, fact);
    }
  }

  #takeFailure(address: string): void {
    const own = this.#ownFact(address);
    if (own?.reachable === false) return;
    this.#tell(address, {
      ...(own ?? this.#describe(address)),
      reachable: false,
    });
  }

  /** Tells of servers that so far only the platform's list names, so that their watchers learn of them. */
  #introduceListed(): void {
    const { clock, random } = this.#options.context;
    const table = this.#options.table();
    const now = clock.monotonic();
    for (const address of table.addresses()) {
      const isIntroduced = !table.isUntold(address);
      if (isIntroduced || this.#watched.has(address)) {
        this.#introductions.delete(address);
        continue;
      }
      const delay = INTRODUCTION_DELAY_MILLISECONDS * (1 + 2 * random.next());
      const due = this.#introductions.get(address) ?? now + delay;
      this.#introductions.set(address, due);
      if (now < due) continue;
      this.#notices.set(address, now + NOTICE_KEPT_MILLISECONDS);
      this.#tell(address, this.#describe(address));
    }
  }

  #dropNotices(): void {
    const { clock } = this.#options.context;
    for (const [address, until] of this.#notices) {
      if (clock.monotonic() < until) continue;
      this.#notices.delete(address);
      this.#options.store.retract("backendServer", address);
    }
  }

  #describe(address: string): BackendServerFact {
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

  #tell(address: string, fact: BackendServerFact): void {
    this.#options.store.tell("backendServer", address, fact);
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
