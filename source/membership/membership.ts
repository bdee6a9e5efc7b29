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
import { FeedSelector, STALLED_FEED_MILLISECONDS } from "./feed_selector.ts";
import { FactStore } from "./fact_store.ts";
import { KeyFreshnessTracker } from "./key_freshness_tracker.ts";
import { NodeDirectory } from "./node_directory.ts";
import { PeerDialer } from "./peer_dialer.ts";
import type { PeerDirectory, PeerHandlers } from "./peer_directory.ts";
import { PeerDirectoryClient } from "./peer_directory_client.ts";
import { createPeerRoutes } from "./peer_routes.ts";
import { PeerStreams } from "./peer_streams.ts";
import { PlatformPoller } from "./platform_poller.ts";
import { createRendezvous, type Rendezvous } from "./rendezvous.ts";
import { BackendServerMonitor } from "./backend_server_monitor.ts";
import type { ReplicatedFacts } from "./replicated_facts.ts";

const PUBLISH_INTERVAL_MILLISECONDS = 250;
const READY_CHECK_INTERVAL_MILLISECONDS = 50;
/** Time to wait for further peers after one has sent its configuration, while the table is unavailable. */
const PEER_CONFIGURATION_WAIT_MILLISECONDS = 2000;
const LOAD_STEP_PERMILLE = 100;
/**
 * Time after the start in which listed nodes count as monitors of backend servers before they
 * publish a fact.
 */
const LISTED_NODES_LIVE_MILLISECONDS = 5000;

/** Dependencies of the membership on other components of a node. */
export interface MembershipOptions {
  readonly handlers: PeerHandlers;
  /** Client that requests the load of backend servers. */
  readonly engines: EngineClient;
  /** Returns HOST:PORT of the peer server, if it differs from the settings. */
  readonly peerAddress?: () => string;
  /** Returns HOST:PORT for callers, if it differs from the settings. */
  readonly callerAddress?: () => string;
  /** Returns the number of requests that this node has running on a backend server. */
  readonly dispatched?: (address: string) => number;
  /**
   * Returns the time since the component that reads the keys last read the withdrawals from the table, in
   * milliseconds; infinite before the first read. Without this option, membership reads the table of keys itself.
   */
  readonly keyTableAgeMilliseconds?: () => number;
}

/** Membership of a node: its peers and the state that all nodes replicate. */
export interface Membership {
  readonly replicatedFacts: ReplicatedFacts;
  readonly peers: PeerDirectory;
  readonly configuration: ConfigurationView;
  /** Applies declarations and adopts the returned revisions. */
  readonly configurationWriter: ConfigurationWriter;
  readonly backendServers: BackendServerView;
  /** Adds the service for peers to a router. */
  readonly registerRoutes: (router: ConnectRouter) => void;
  /**
   * Waits until this node has read the configuration from the table or, while the table is
   * unavailable, received a revision from its peers; then publishes this node as a member.
   */
  ready(): Promise<void>;
  /** Publishes that this node is draining and accepts no new callers. */
  startDraining(): void;
  /** Publishes the share of this node's capacity in use when it differs by LOAD_STEP_PERMILLE or more. */
  setLoadPermille(permille: number): void;
  /** Returns the number of peer streams on which the other side has sent its hello. */
  establishedStreams(): number;
  /** Runs the background tasks until the node stops. */
  run(): Promise<void>;
}

/**
 * Creates the membership of a node. The service for peers must be added to the peer server before
 * `run` is called.
 * @param context - Context of the node.
 * @param options - Dependencies on other components.
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
  // Each background task and stream adds a listener to this signal, so the warning at many
  // listeners is disabled.
  setMaxListeners(0, context.stopping);
  return new NodeMembership(context, options, await createRendezvous());
}

class NodeMembership implements Membership {
  readonly replicatedFacts: ReplicatedFacts;
  readonly peers: PeerDirectory;
  readonly configuration: ConfigurationHolder;
  readonly configurationWriter: ConfigurationWriter;
  readonly #configurationStore: ConfigurationStore;
  readonly backendServers: BackendServerTable;
  readonly registerRoutes: (router: ConnectRouter) => void;
  readonly #context: NodeContext;
  readonly #options: MembershipOptions;
  readonly #store: FactStore;
  readonly #freshness: KeyFreshnessTracker;
  readonly #nodes: NodeDirectory;
  readonly #feeds: FeedSelector;
  readonly #streams: PeerStreams;
  readonly #dialer: PeerDialer;
  readonly #poller: PlatformPoller;
  readonly #monitor: BackendServerMonitor;
  readonly #createdAt: number;
  #isReady = false;
  #isDraining = false;
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
    this.replicatedFacts = store;
    this.#freshness = new KeyFreshnessTracker(
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
    this.#feeds = new FeedSelector();
    this.#streams = new PeerStreams({
      context,
      store,
      feeds: this.#feeds,
      freshness: this.#freshness,
      hello: () => this.#createHello(),
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
    this.#monitor = new BackendServerMonitor({
      context,
      store,
      engines: options.engines,
      rendezvous,
      table: () => this.backendServers,
      nodes: () => this.#monitoringNodes(),
      dispatched: options.dispatched ?? (() => 0),
    });
    this.backendServers = new BackendServerTable({
      store,
      clock,
      log,
      onUnreachable: (address) => void this.#monitor.probe(address),
      onDrainNotice: (address) => this.#monitor.publishDraining(address),
    });
    this.#poller = this.#createPoller();
    const { handlers } = options;
    const streams = this.#streams;
    this.registerRoutes = createPeerRoutes({ store, streams, handlers });
    this.#connectConfiguration();
  }

  async ready(): Promise<void> {
    const { clock, stopping } = this.#context;
    let peersReadySince = Infinity;
    while (!stopping.aborted && !this.#poller.hasConfiguration) {
      const hasPeers = this.#streams.established > 0 &&
        this.configuration.current() !== undefined;
      const now = clock.monotonic();
      peersReadySince = hasPeers ? Math.min(peersReadySince, now) : Infinity;
      if (now - peersReadySince >= PEER_CONFIGURATION_WAIT_MILLISECONDS) break;
      await clock.sleep(READY_CHECK_INTERVAL_MILLISECONDS, stopping);
    }
    this.#isReady = true;
    this.#publishNode();
  }

  startDraining(): void {
    this.#isDraining = true;
    this.#publishNode();
    void this.#context.platform.instances.register(this.#createRegistration());
  }

  setLoadPermille(permille: number): void {
    const difference = Math.abs(permille - this.#loadPermille);
    if (difference < LOAD_STEP_PERMILLE) return;
    this.#loadPermille = Math.round(permille);
    this.#publishNode();
  }

  establishedStreams(): number {
    return this.#streams.established;
  }

  async run(): Promise<void> {
    await Promise.all([
      this.#dialer.run(),
      this.#poller.run(),
      this.#monitor.run(),
      this.#publishPeriodically(),
    ]);
  }

  async #publishPeriodically(): Promise<void> {
    const { clock, stopping } = this.#context;
    while (!stopping.aborted) {
      this.#store.publishDue();
      this.#store.expireOrigins();
      this.#requestStalledLogs();
      await clock.sleep(PUBLISH_INTERVAL_MILLISECONDS, stopping);
    }
  }

  #requestStalledLogs(): void {
    const now = this.#context.clock.monotonic();
    for (const log of this.#store.logs()) {
      if (log.origin === this.#context.settings.node) continue;
      const idleMilliseconds = now - log.grownAt;
      if (log.isExpired) this.#feeds.remove(log.identity);
      else if (idleMilliseconds > STALLED_FEED_MILLISECONDS) {
        this.#feeds.requestStalled(log.identity, now);
      }
    }
  }

  #createPoller(): PlatformPoller {
    return new PlatformPoller({
      context: this.#context,
      store: this.#configurationStore,
      holder: this.configuration,
      freshness: this.#freshness,
      registration: () => this.#createRegistration(),
      onListed: (instances) => this.#applyInstanceList(instances),
      onWithdrawn: (identifiers) => this.#publishWithdrawals(identifiers),
      nodeCount: () => this.peers.peers().length + 1,
      areKeysReadElsewhere: this.#options.keyTableAgeMilliseconds !== undefined,
    });
  }

  #connectConfiguration(): void {
    this.configuration.watch((record) => {
      this.#store.publish(
        "configuration",
        "configuration",
        create(ConfigurationFactSchema, { record }),
      );
      this.#publishNode();
    });
    this.#store.watch("configuration", ({ value }) => {
      if (value.record === undefined) return;
      this.configuration.adoptFrom(value.record, "peer");
    });
  }

  #applyInstanceList(instances: ReadonlyArray<ListedInstance>): void {
    this.#nodes.applyInstanceList(instances);
    this.backendServers.applyInstanceList(instances);
  }

  #publishWithdrawals(identifiers: ReadonlyArray<string>): void {
    const known = new Set(
      this.#store.facts("keyWithdrawal").map(({ key }) => key),
    );
    for (const identifier of identifiers) {
      if (known.has(identifier)) continue;
      this.#store.publish(
        "keyWithdrawal",
        identifier,
        create(KeyWithdrawalFactSchema),
      );
    }
  }

  /**
   * Returns the nodes that monitor backend servers; excludes listed nodes without facts once
   * LISTED_NODES_LIVE_MILLISECONDS have elapsed since the start.
   */
  #monitoringNodes(): ReadonlyArray<string> {
    const ageMilliseconds = this.#context.clock.monotonic() - this.#createdAt;
    const isStarting = ageMilliseconds < LISTED_NODES_LIVE_MILLISECONDS;
    const names = this.peers.peers()
      .filter(({ leaving, nodeStart }) =>
        !leaving && (isStarting || nodeStart !== "")
      )
      .map(({ node }) => node);
    return [this.#context.settings.node, ...names].sort();
  }

  #publishNode(): void {
    if (!this.#isReady) return;
    const { settings } = this.#context;
    this.#store.publish(
      "node",
      settings.node,
      create(NodeFactSchema, {
        address: this.#peerAddress(),
        callerAddress: this.#options.callerAddress?.() ??
          settings.callerAddress,
        failureDomain: settings.failureDomain,
        leaving: this.#isDraining,
        configurationRevision: this.configuration.current()?.revision ?? 0n,
        loadPermille: this.#loadPermille,
      }),
    );
  }

  #peerAddress(): string {
    return this.#options.peerAddress?.() ?? this.#context.settings.peerAddress;
  }

  #createHello(): Hello {
    const { settings, nodeStart } = this.#context;
    return create(HelloSchema, {
      node: settings.node,
      nodeStart,
      failureDomain: settings.failureDomain,
      address: this.#peerAddress(),
      configurationRevision: this.configuration.current()?.revision ?? 0n,
    });
  }

  #createRegistration(): ListedInstance {
    const { settings } = this.#context;
    return {
      kind: "node",
      name: settings.node,
      address: this.#peerAddress(),
      failureDomain: settings.failureDomain,
      service: "",
      tier: "steady",
      leaving: this.#isDraining,
      microsPerHour: 0,
    };
  }
}
