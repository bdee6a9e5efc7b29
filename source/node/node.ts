import type { EngineClient } from "../backends/engine_client.ts";
import { HttpEngineClient } from "../backends/http_engine_client.ts";
import { HttpPlainClient } from "../backends/http_plain_client.ts";
import {
  createAdmission,
  type NodeAdmission,
} from "../admission/node_admission.ts";
import type { UsageRecorder } from "../control/usage_recorder.ts";
import {
  createDispatcher,
  type NodeDispatcher,
} from "../dispatch/create_dispatcher.ts";
import { createAddressRoute } from "../entry/address_route.ts";
import { createCompletionRoute } from "../entry/completion_route.ts";
import { EntryServer } from "../entry/entry_server.ts";
import { createPlainRouteFinder } from "../entry/plain_route.ts";
import { createTrainerRoutes } from "../entry/trainer_handlers.ts";
import { KeyAuthority } from "../keys/key_authority.ts";
import { KeyDirectory } from "../keys/key_directory.ts";
import { createMembership, type Membership } from "../membership/membership.ts";
import { type PeerServer, startPeerServer } from "../membership/peer_server.ts";
import { addOperatorService } from "../operators/operator_service.ts";
import { StepService } from "../steps/step_service.ts";
import { ControlTasks } from "./control_tasks.ts";
import { DeferredPeerHandlers } from "./deferred_peer_handlers.ts";
import type { NodeContext } from "../context/node_context.ts";
import { reportNodeGauges } from "./node_gauges.ts";

const STOP_LIMIT_MILLISECONDS = 5000;
const LOAD_PUBLISH_INTERVAL_MILLISECONDS = 500;

/**
 * A node, created from its parts.
 * @example
 * ```ts
 * const node = await Node.create(context, () => draining.abort("drain"));
 * const address = await node.start();
 * await node.drain();
 * ```
 */
export class Node {
  readonly #context: NodeContext;
  readonly #membership: Membership;
  readonly #keys: KeyDirectory;
  readonly #authority: KeyAuthority;
  readonly #admission: NodeAdmission;
  readonly #dispatcher: NodeDispatcher;
  readonly #steps: StepService;
  readonly #control: ControlTasks;
  readonly #entry: EntryServer;
  readonly #onDrain: () => void;
  #peerServer: PeerServer | undefined;
  #running: Promise<unknown> = Promise.resolve();

  private constructor(options: NodeOptions) {
    const { context, membership, handlers } = options;
    const { replicatedFacts, peers, configuration, backendServers } =
      membership;
    this.#context = context;
    this.#membership = membership;
    this.#dispatcher = options.dispatcher;
    this.#onDrain = options.onDrain;
    this.#keys = options.keys;
    this.#authority = new KeyAuthority({
      context,
      directory: this.#keys,
      peers,
      replicatedFacts,
    });
    this.#admission = createAdmission({
      context,
      configuration,
      peers,
      replicatedFacts,
      backends: backendServers,
    });
    const usage: UsageRecorder = {
      record: (organisation, figures) =>
        this.#control.usage.record(organisation, figures),
    };
    this.#steps = new StepService({
      context,
      configuration,
      replicatedFacts,
      peers,
      admission: this.#admission,
      dispatcher: this.#dispatcher,
      usage,
    });
    this.#control = new ControlTasks({
      context,
      membership,
      engines: options.engines,
      versions: this.#steps.versions,
      queued: (service) => this.#admission.queued(service),
    });
    this.#entry = this.#createEntry();
    handlers.connect({
      ...this.#steps.handlers,
      onWithdrawal: ({ keyIdentifier }) =>
        this.#keys.applyWithdrawal(keyIdentifier),
    });
  }

  /**
   * Creates a node, which does nothing before `start`.
   * @param context - Dependencies that all parts share.
   * @param onDrain - Called when an operator requests a drain.
   */
  static async create(
    context: NodeContext,
    onDrain: () => void,
  ): Promise<Node> {
    const { clock } = context;
    const handlers = new DeferredPeerHandlers();
    const engines = new HttpEngineClient({ clock });
    const created: { dispatcher?: NodeDispatcher; keys?: KeyDirectory } = {};
    const membership = await createMembership(context, {
      handlers: handlers.handlers,
      engines,
      dispatched: (address) => created.dispatcher?.runningAt(address) ?? 0,
      keyTableAgeMilliseconds: () =>
        created.keys?.tableAgeMilliseconds() ?? Infinity,
    });
    const dispatcher = createDispatcher({
      context,
      servers: membership.backendServers,
      engines,
      plainServices: new HttpPlainClient({ clock }),
      configuration: membership.configuration,
    });
    const { peers, replicatedFacts } = membership;
    const keys = new KeyDirectory({ context, peers, replicatedFacts });
    Object.assign(created, { dispatcher, keys });
    return new Node({
      context,
      keys,
      membership,
      engines,
      dispatcher,
      handlers,
      onDrain,
    });
  }

  /** Starts to serve peers, then callers, and returns the HOST:PORT that callers connect to. */
  async start(): Promise<string> {
    const { settings, log } = this.#context;
    this.#peerServer = await startPeerServer({
      address: settings.peerAddress,
      secret: settings.peerSecret,
      registerRoutes: [
        this.#membership.registerRoutes,
        (router) => addOperatorService(router, this.#operatorOptions()),
      ],
      log,
    });
    this.#running = Promise.all([
      this.#membership.run(),
      this.#keys.run(),
      this.#authority.run(),
      this.#admission.run(),
      this.#dispatcher.run(),
      this.#steps.run(),
      this.#control.run(),
    ]);
    await this.#membership.ready();
    const address = await this.#entry.listen();
    void this.#entry.run();
    void reportNodeGauges({
      context: this.#context,
      membership: this.#membership,
      entry: this.#entry,
    });
    void this.#publishLoad();
    log.emit("nodeStarted", {
      address,
      peerAddress: this.#peerServer.address,
    });
    return address;
  }

  /**
   * Resolves when all background tasks have ended; rejects when one fails by a broken invariant.
   */
  get ended(): Promise<unknown> {
    return this.#running;
  }

  /** Drains the node: announces it to all nodes and serves until running requests have ended. */
  async drain(): Promise<void> {
    this.#membership.startDraining();
    await Promise.all([this.#entry.drain(), this.#steps.drain()]);
  }

  /**
   * Waits at most 5 s for the background tasks to release leases and save state, then closes all
   * servers.
   */
  async close(): Promise<void> {
    await Promise.race([
      this.#running,
      this.#context.clock.sleep(STOP_LIMIT_MILLISECONDS),
    ]);
    await this.#entry.close();
    await this.#peerServer?.close();
  }

  async #publishLoad(): Promise<void> {
    const { clock, stopping } = this.#context;
    while (!stopping.aborted) {
      this.#membership.setLoadPermille(this.#admission.loadPermille());
      await clock.sleep(LOAD_PUBLISH_INTERVAL_MILLISECONDS, stopping);
    }
  }

  #createEntry(): EntryServer {
    const { configuration, peers, replicatedFacts } = this.#membership;
    const context = this.#context;
    const requestOptions = {
      context,
      configuration,
      admission: this.#admission,
      dispatcher: this.#dispatcher,
      usage: this.#control.usage,
    };
    return new EntryServer({
      context,
      keys: this.#keys,
      routes: [
        createAddressRoute({
          context,
          peers,
          replicatedFacts,
          ownAddress: () => context.settings.callerAddress,
          isLeaving: () => this.#entry.isLeaving,
        }),
        createCompletionRoute(requestOptions),
        ...createTrainerRoutes({ steps: this.#steps }),
      ],
      findDeclared: createPlainRouteFinder(requestOptions),
    });
  }

  #operatorOptions(): Parameters<typeof addOperatorService>[1] {
    const {
      configuration,
      configurationWriter,
      peers,
      replicatedFacts,
      backendServers,
    } = this.#membership;
    return {
      context: this.#context,
      configuration,
      writer: configurationWriter,
      keys: this.#authority,
      peers,
      replicatedFacts,
      servers: backendServers,
      admission: this.#admission,
      isDraining: () => this.#entry.isLeaving,
      startDrain: () => {
        this.#onDrain();
        return this.#entry.runningExchanges;
      },
    };
  }
}

interface NodeOptions {
  readonly context: NodeContext;
  readonly keys: KeyDirectory;
  readonly membership: Membership;
  readonly engines: EngineClient;
  readonly dispatcher: NodeDispatcher;
  readonly handlers: DeferredPeerHandlers;
  readonly onDrain: () => void;
}
