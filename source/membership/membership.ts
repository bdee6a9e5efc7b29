import { setMaxListeners } from "node:events";
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import {
  ConfigurationFactSchema,
  type Hello,
  HelloSchema,
  KeyWithdrawalFactSchema,
  NodeFactSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { BackendServerView } from "../backends/backend_server_state.ts";
import type { EngineClient } from "../backends/engine_client.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { ListedInstance } from "../platform/instance_list_client.ts";
import type { ConfigurationWriter } from "../operators/configuration_writer.ts";
import { AdoptingConfigurationWriter } from "./adopting_configuration_writer.ts";
import { BackendServerTable } from "./backend_server_table.ts";
import { ConfigurationHolder } from "./configuration_holder.ts";
import { ConfigurationStore } from "./configuration_store.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import { FeedTree, STALLED_FEED_MILLISECONDS } from "./feed_tree.ts";
import { FactStore } from "./fact_store.ts";
import { KeyFreshness } from "./key_freshness.ts";
import { NodeDirectory } from "./node_directory.ts";
import { PeerDialer } from "./peer_dialer.ts";
import type { PeerDirectory, PeerHandlers } from "./peer_directory.ts";
import { PeerDirectoryClient } from "./peer_directory_client.ts";
import { createPeerRoutes } from "./peer_routes.ts";
import { PeerStreams } from "./peer_streams.ts";
import { PlatformPoll } from "./platform_poll.ts";
import { createRendezvous, type Rendezvous } from "./rendezvous.ts";
import { ServerWatch } from "./server_watch.ts";
import type { ToldState } from "./told_state.ts";

const TELL_INTERVAL_MILLISECONDS = 250;
const READY_CHECK_MILLISECONDS = 50;
/** Time given to further peers, once one has told its configuration, while the table is away. */
const READY_PEERS_MILLISECONDS = 2000;
const LOAD_STEP_PERMILLE = 100;
/** Time after the start in which listed nodes count as live before they were heard. */
const LISTED_TRUSTED_MILLISECONDS = 5000;

/** What membership needs from the other parts of a node. */
export interface MembershipOptions {
  readonly handlers: PeerHandlers;
  /** Asks backend servers for their load. */
  readonly engines: EngineClient;
  /** HOST:PORT on which the peer server listens, when it differs from the settings. */
  readonly peerAddress?: () => string;
  /** HOST:PORT for callers, when it differs from the settings. */
  readonly callerAddress?: () => string;
  /** Requests that this node has running at a backend server. */
  readonly dispatched?: (address: string) => number;
  /**
   * Returns the time since the part that reads the keys last got word of withdrawals from the table, in
   * milliseconds; infinite before the first. Without it, membership reads the table of keys itself.
   */
  readonly keyTableAgeMilliseconds?: () => number;
}

/** What a node knows of the other nodes, and what they know together. */
export interface Membership {
  readonly told: ToldState;
  readonly peers: PeerDirectory;
  readonly configuration: ConfigurationView;
  /** Applies declarations and puts accepted ones in force. */
  readonly configurationWriter: ConfigurationWriter;
  readonly backendServers: BackendServerView;
  /** Adds the peers' service to a router. */
  readonly registerRoutes: (router: ConnectRouter) => void;
  /** Resolves once the configuration of the table or the highest of the peers is in force here. */
  ready(): Promise<void>;
  /** Tells all nodes that this one takes no new callers. */
  setLeaving(): void;
  /** Tells the share of this node's capacity in use; told in coarse steps. */
  setLoadPermille(permille: number): void;
  /** Number of open peer streams. */
  establishedStreams(): number;
  /** Runs all background tasks until the node stops. */
  run(): Promise<void>;
}

/**
 * Creates the membership of a node. Its service must be added to the peer server before `run` is called.
 * @param context - The node.
 * @param options - Handlers and clients of the other parts.
 * @example
 * ```ts
 * const membership = await createMembership(context, { handlers, engines });
 * const server = await startPeerServer({
 *   address: context.settings.peerAddress,
 *   secret: context.settings.peerSecret,
 *   registerRoutes: [membership.registerRoutes],
 *   log: context.log,
 * });
 * void membership.run();
 * await membership.ready();
 * ```
 */
export async function createMembership(
  context: NodeContext,
  options: MembershipOptions,
): Promise<Membership> {
  // Each background task and stream waits on this one signal.
  setMaxListeners(0, context.stopping);
  return new NodeMembership(context, options, await createRendezvous());
}

class NodeMembership implements Membership {
  readonly told: ToldState;
  readonly peers: PeerDirectory;
  readonly configuration: ConfigurationHolder;
  readonly configurationWriter: ConfigurationWriter;
  readonly #configurationStore: ConfigurationStore;
  readonly backendServers: BackendServerTable;
  readonly registerRoutes: (router: ConnectRouter) => void;
  readonly #context: NodeContext;
  readonly #options: MembershipOptions;
  readonly #store: FactStore;
  readonly #freshness: KeyFreshness;
  readonly #nodes: NodeDirectory;
  readonly #feeds: FeedTree;
  readonly #streams: PeerStreams;
  readonly #dialer: PeerDialer;
  readonly #poll: PlatformPoll;
  readonly #watch: ServerWatch;
  readonly #createdAt: number;
  #isReady = false;
  #isLeaving = false;
  #loadPermille = 0;

  constructor(
    context: NodeContext,
    options: MembershipOptions,
    rendezvous: Rendezvous,
  ) {
    const { clock, log, settings, nodeStart } = context;
    this.#context = context;
    this.#createdAt = clock.monotonic();
    this.#options = options;
    const node = settings.node;
    const store = new FactStore({ node, nodeStart, clock, log });
    this.#store = store;
    this.told = store;
    this.#freshness = new KeyFreshness(
      clock,
      options.keyTableAgeMilliseconds,
    );
    this.#nodes = new NodeDirectory({ node, store, clock });
    this.configuration = new ConfigurationHolder(log);
    this.#configurationStore = new ConfigurationStore(
      context.platform.table,
      clock,
    );
    this.configurationWriter = new AdoptingConfigurationWriter(
      this.#configurationStore,
      this.configuration,
    );
    this.#feeds = new FeedTree();
    this.#streams = new PeerStreams({
      context,
      store,
      feeds: this.#feeds,
      freshness: this.#freshness,
      hello: () => this.#hello(),
    });
    this.#dialer = new PeerDialer({
      context,
      streams: this.#streams,
      rendezvous,
      candidates: () => this.#nodes.candidates(),
    });
    this.peers = new PeerDirectoryClient({
      context,
      nodes: this.#nodes,
      freshness: this.#freshness,
      rendezvous,
    });
    this.#watch = new ServerWatch({
      context,
      store,
      engines: options.engines,
      rendezvous,
      table: () => this.backendServers,
      nodes: () => this.#stayingNodes(),
      dispatched: options.dispatched ?? (() => 0),
    });
    this.backendServers = new BackendServerTable({
      store,
      clock,
      log,
      onUnreachable: (address) => void this.#watch.probe(address),
      onLeaving: (address) => this.#watch.tellLeaving(address),
    });
    this.#poll = this.#createPoll();
    const { handlers } = options;
    const streams = this.#streams;
    this.registerRoutes = createPeerRoutes({ store, streams, handlers });
    this.#connectConfiguration();
  }

  async ready(): Promise<void> {
    const { clock, stopping } = this.#context;
    let peersSince = Infinity;
    while (!stopping.aborted && !this.#poll.hasConfiguration) {
      const hasPeers = this.#streams.established > 0 &&
        this.configuration.current() !== undefined;
      const now = clock.monotonic();
      peersSince = hasPeers ? Math.min(peersSince, now) : Infinity;
      if (now - peersSince >= READY_PEERS_MILLISECONDS) break;
      await clock.sleep(READY_CHECK_MILLISECONDS, stopping);
    }
    this.#isReady = true;
    this.#tellNode();
  }

  setLeaving(): void {
    this.#isLeaving = true;
    this.#tellNode();
    void this.#context.platform.instances.register(this.#registration());
  }

  setLoadPermille(permille: number): void {
    const moved = Math.abs(permille - this.#loadPermille);
    if (moved < LOAD_STEP_PERMILLE) return;
    this.#loadPermille = Math.round(permille);
    this.#tellNode();
  }

  establishedStreams(): number {
    return this.#streams.established;
  }

  async run(): Promise<void> {
    await Promise.all([
      this.#dialer.run(),
      this.#poll.run(),
      this.#watch.run(),
      this.#tellRegularly(),
    ]);
  }

  async #tellRegularly(): Promise<void> {
    const { clock, stopping } = this.#context;
    while (!stopping.aborted) {
      this.#store.tellDue();
      this.#store.expireOrigins();
      this.#askForStalled();
      await clock.sleep(TELL_INTERVAL_MILLISECONDS, stopping);
    }
  }

  #askForStalled(): void {
    const now = this.#context.clock.monotonic();
    for (const log of this.#store.logs()) {
      if (log.origin === this.#context.settings.node) continue;
      const quiet = now - log.heardAt;
      if (log.isDead) this.#feeds.forget(log.identity);
      else if (quiet > STALLED_FEED_MILLISECONDS) {
        this.#feeds.askForStalled(log.identity, now);
      }
    }
  }

  #createPoll(): PlatformPoll {
    return new PlatformPoll({
      context: this.#context,
      store: this.#configurationStore,
      holder: this.configuration,
      freshness: this.#freshness,
      registration: () => this.#registration(),
      onListed: (instances) => this.#takeList(instances),
      onWithdrawn: (identifiers) => this.#takeWithdrawn(identifiers),
      nodeCount: () => this.peers.peers().length + 1,
      keysAreReadElsewhere: this.#options.keyTableAgeMilliseconds !== undefined,
    });
  }

  #connectConfiguration(): void {
    this.configuration.watch((record) => {
      this.#store.tell(
        "configuration",
        "configuration",
        create(ConfigurationFactSchema, { record }),
      );
      this.#tellNode();
    });
    this.#store.watch("configuration", ({ value }) => {
      if (value.record === undefined) return;
      this.configuration.adoptFrom(value.record, "peer");
    });
  }

  #takeList(instances: ReadonlyArray<ListedInstance>): void {
    this.#nodes.noteListed(instances);
    this.backendServers.noteListed(instances);
  }

  #takeWithdrawn(identifiers: ReadonlyArray<string>): void {
    const known = new Set(
      this.#store.facts("keyWithdrawal").map(({ key }) => key),
    );
    for (const identifier of identifiers) {
      if (known.has(identifier)) continue;
      this.#store.tell(
        "keyWithdrawal",
        identifier,
        create(KeyWithdrawalFactSchema),
      );
    }
  }

  /** A node that is listed but not heard from watches nothing for this one. */
  #stayingNodes(): ReadonlyArray<string> {
    const age = this.#context.clock.monotonic() - this.#createdAt;
    const isNew = age < LISTED_TRUSTED_MILLISECONDS;
    const names = this.peers.peers()
      .filter(({ leaving, nodeStart }) =>
        !leaving && (isNew || nodeStart !== "")
      )
      .map(({ node }) => node);
    return [this.#context.settings.node, ...names].sort();
  }

  #tellNode(): void {
    if (!this.#isReady) return;
    const { settings } = this.#context;
    this.#store.tell(
      "node",
      settings.node,
      create(NodeFactSchema, {
        address: this.#peerAddress(),
        callerAddress: this.#options.callerAddress?.() ??
          settings.callerAddress,
        failureDomain: settings.failureDomain,
        leaving: this.#isLeaving,
        configurationRevision: this.configuration.current()?.revision ?? 0n,
        loadPermille: this.#loadPermille,
      }),
    );
  }

  #peerAddress(): string {
    return this.#options.peerAddress?.() ?? this.#context.settings.peerAddress;
  }

  #hello(): Hello {
    const { settings, nodeStart } = this.#context;
    return create(HelloSchema, {
      node: settings.node,
      nodeStart,
      failureDomain: settings.failureDomain,
      address: this.#peerAddress(),
      configurationRevision: this.configuration.current()?.revision ?? 0n,
    });
  }

  #registration(): ListedInstance {
    const { settings } = this.#context;
    return {
      kind: "node",
      name: settings.node,
      address: this.#peerAddress(),
      failureDomain: settings.failureDomain,
      service: "",
      tier: "steady",
      leaving: this.#isLeaving,
      microsPerHour: 0,
    };
  }
}
