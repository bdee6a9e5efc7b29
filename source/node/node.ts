import type { EngineClient } from "../backends/engine_client.ts";
import { HttpEngineClient } from "../backends/http_engine_client.ts";
import { HttpPlainClient } from "../backends/http_plain_client.ts";
import {
  createAdmission,
  type NodeAdmission,
} from "../admission/node_admission.ts";
import type { UsageCounters } from "../control/usage_counters.ts";
import {
  createDispatcher,
  type NodeDispatcher,
} from "../dispatch/create_dispatcher.ts";
import { createAddressRoute } from "../entry/address_route.ts";
import { createCompletionRoute } from "../entry/completion_route.ts";
import { EntryServer } from "../entry/entry_server.ts";
import { createPlainRoutes } from "../entry/plain_route.ts";
import { createTrainerRoutes } from "../entry/trainer_handlers.ts";
import { KeyAuthority } from "../keys/key_authority.ts";
import { KeyDirectory } from "../keys/key_directory.ts";
import { createMembership, type Membership } from "../membership/membership.ts";
import { type PeerServer, startPeerServer } from "../membership/peer_server.ts";
import { addOperatorService } from "../operators/operator_service.ts";
import { StepService } from "../steps/step_service.ts";
import { Control } from "./control.ts";
import { LateHandlers } from "./late_handlers.ts";
import type { NodeContext } from "../context/node_context.ts";
import { reportNodeGauges } from "./node_gauges.ts";

const STOP_LIMIT_MILLISECONDS = 5000;
const LOAD_INTERVAL_MILLISECONDS = 500;

/**
 * One node, put together from its parts.
 * @example
 * ```ts
 * const node = await Node.create(context, () => leaving.abort("drain"));
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
  readonly #control: Control;
  readonly #entry: EntryServer;
  readonly #onDrain: () => void;
  #peerServer: PeerServer | undefined;
  #running: Promise<unknown> = Promise.resolve();

  private constructor(options: NodeOptions) {
    const { context, membership, handlers } = options;
    const { told, peers, configuration, backendServers } = membership;
    this.#context = context;
    this.#membership = membership;
    this.#dispatcher = options.dispatcher;
    this.#onDrain = options.onDrain;
    this.#keys = options.keys;
    this.#authority = new KeyAuthority({
      context,
      directory: this.#keys,
      peers,
      told,
    });
    this.#admission = createAdmission({
      context,
      configuration,
      peers,
      told,
      backends: backendServers,
    });
    const usage: UsageCounters = {
      record: (organisation, figures) =>
        this.#control.usage.record(organisation, figures),
    };
    this.#steps = new StepService({
      context,
      configuration,
      told,
      peers,
      admission: this.#admission,
      dispatcher: this.#dispatcher,
      usage,
    });
    this.#control = new Control({
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
   * Puts a node together; it does nothing before `start`.
   * @param context - What every part is given.
   * @param onDrain - Called when an operator asks the node to leave.
   */
  static async create(
    context: NodeContext,
    onDrain: () => void,
  ): Promise<Node> {
    const { clock } = context;
    const handlers = new LateHandlers();
    const engines = new HttpEngineClient({ clock });
    const parts: { dispatcher?: NodeDispatcher; keys?: KeyDirectory } = {};
    const membership = await createMembership(context, {
      handlers: handlers.handlers,
      engines,
      dispatched: (address) => parts.dispatcher?.runningAt(address) ?? 0,
      keyTableAgeMilliseconds: () =>
        parts.keys?.tableAgeMilliseconds() ?? Infinity,
    });
    const dispatcher = createDispatcher({
      context,
      servers: membership.backendServers,
      engines,
      plainServices: new HttpPlainClient({ clock }),
      configuration: membership.configuration,
    });
    const { peers, told } = membership;
    const keys = new KeyDirectory({ context, peers, told });
    Object.assign(parts, { dispatcher, keys });
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

  /** Begins to serve peers, then callers; returns HOST:PORT for callers. */
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
    void this.#tellLoad();
    log.emit("nodeStarted", {
      address,
      peerAddress: this.#peerServer.address,
    });
    return address;
  }

  /** Resolves when a background task ended, which happens only when the node stops or an invariant broke. */
  get ended(): Promise<unknown> {
    return this.#running;
  }

  /** Leaves: tells all nodes, then serves on until running requests have ended. */
  async drain(): Promise<void> {
    this.#membership.setLeaving();
    await Promise.all([this.#entry.drain(), this.#steps.leave()]);
  }

  /** Waits until the background tasks have given back and saved what they hold, then closes all servers. */
  async close(): Promise<void> {
    await Promise.race([
      this.#running,
      this.#context.clock.sleep(STOP_LIMIT_MILLISECONDS),
    ]);
    await this.#entry.close();
    await this.#peerServer?.close();
  }

  async #tellLoad(): Promise<void> {
    const { clock, stopping } = this.#context;
    while (!stopping.aborted) {
      this.#membership.setLoadPermille(this.#admission.loadPermille());
      await clock.sleep(LOAD_INTERVAL_MILLISECONDS, stopping);
    }
  }

  #createEntry(): EntryServer {
    const { configuration, peers, told } = this.#membership;
    const context = this.#context;
    const work = {
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
          told,
          ownAddress: () => context.settings.callerAddress,
          isLeaving: () => this.#entry.isLeaving,
        }),
        createCompletionRoute(work),
        ...createTrainerRoutes({ steps: this.#steps }),
      ],
      findDeclared: createPlainRoutes(work),
    });
  }

  #operatorOptions(): Parameters<typeof addOperatorService>[1] {
    const { configuration, configurationWriter, peers, told, backendServers } =
      this.#membership;
    return {
      context: this.#context,
      configuration,
      writer: configurationWriter,
      keys: this.#authority,
      peers,
      told,
      servers: backendServers,
      admission: this.#admission,
      isLeaving: () => this.#entry.isLeaving,
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
  readonly handlers: LateHandlers;
  readonly onDrain: () => void;
}
