import { create } from "@bufbuild/protobuf";
import {
  type ConfigurationRecord,
  ConfigurationRecordSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import { NodeSettingsSchema } from "../../generated/snipepath/v1/settings_pb.ts";
import type {
  Peer,
  PeerConfirmations,
  PeerDirectory,
} from "../../source/membership/peer_directory.ts";
import type {
  FactKind,
  FactValue,
  HeldFact,
  ReplicatedFacts,
} from "../../source/membership/replicated_facts.ts";
import type { NodeContext } from "../../source/context/node_context.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { MemoryCauseLedger } from "../../source/observability/memory_cause_ledger.ts";
import { NO_METRICS } from "../../source/observability/metrics.ts";
import { StepService } from "../../source/steps/step_service.ts";
import { invariant } from "../../source/utilities/invariant.ts";
import { ManualClock } from "../../source/utilities/manual_clock.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { ObjectStore } from "../platform/object_store.ts";
import { TableStore } from "../platform/table_store.ts";
import { FakeEnginePool } from "./fake_engine_pool.ts";
import { FakePlatform } from "./fake_platform.ts";

const PEER_LATENCY_MILLISECONDS = 3;
const PEER_TIMEOUT_MILLISECONDS = 500;
const CLOCK_STEP_MILLISECONDS = 20;
const MAXIMUM_CLOCK_STEPS = 50_000;
/** Time for which a killed node remains in the lists of its peers. */
const FAILURE_DETECTION_MILLISECONDS = 1500;

/** A node of a group. */
export interface FakeNode {
  readonly name: string;
  readonly nodeStart: string;
  readonly failureDomain: string;
  readonly platform: FakePlatform;
  readonly service: StepService;
  readonly log: RecordingEventLog;
  isAlive: boolean;
  /** Monotonic time, in milliseconds; 0 while the node is alive. */
  killedAt: number;
  /** Whether the node and its peers can't reach each other. */
  isPartitioned: boolean;
  /** Whether the node is missing from its peers' lists. */
  isMissingFromLists: boolean;
}

/** Options of a node group. */
export interface FakeNodeGroupOptions {
  readonly nodes: number;
  readonly engines: number;
  readonly seed: number;
  readonly stalenessBoundVersions: number;
  readonly tailPolicy?: string;
}

type AnyFact = HeldFact<FactKind>;

interface NodeParts {
  readonly facts: Map<string, AnyFact>;
  readonly listeners: Map<FactKind, Set<(fact: AnyFact) => void>>;
  readonly abortController: AbortController;
}

/**
 * Step services of several nodes in one process, with simulated fact replication and peer calls
 * and a shared manual clock.
 * @example
 * ```ts
 * const group = new FakeNodeGroup({ nodes: 3, engines: 4, seed: 1, stalenessBoundVersions: 1 });
 * group.kill(group.nodes[0]);
 * ```
 */
export class FakeNodeGroup {
  readonly clock = new ManualClock();
  readonly pool: FakeEnginePool;
  readonly nodes: ReadonlyArray<FakeNode>;
  readonly configuration: ConfigurationRecord;
  readonly #parts = new Map<FakeNode, NodeParts>();

  /** @param options - Numbers of nodes and engines, seed, staleness bound, and tail policy. */
  constructor(options: FakeNodeGroupOptions) {
    this.pool = new FakeEnginePool(this.clock, options.engines);
    this.configuration = create(ConfigurationRecordSchema, {
      revision: 1n,
      declaration: {
        trainers: [{
          name: "dots",
          service: "dot-models",
          classOfWork: "rollouts",
          organisation: "guild",
          stalenessBoundVersions: options.stalenessBoundVersions,
          stepDeadlineSeconds: 600,
        }],
      },
    });
    const state = { table: new TableStore(), objects: new ObjectStore() };
    this.nodes = Array.from(
      { length: options.nodes },
      (_, position) => this.#createNode(position, options, state),
    );
    for (const node of this.nodes) void node.service.run();
  }

  /** Kills a node, which from then on sends no responses and publishes no facts. */
  kill(node: FakeNode): void {
    node.isAlive = false;
    node.platform.isCallerKilled = true;
    node.killedAt = this.clock.monotonic();
    this.#parts.get(node)?.abortController.abort();
  }

  /** Advances the clock in steps of 20 ms until a task ends, and returns its result. */
  async runUntilDone<Result>(task: Promise<Result>): Promise<Result> {
    let isDone = false;
    void task.finally(() => isDone = true);
    for (let step = 0; step < MAXIMUM_CLOCK_STEPS && !isDone; step += 1) {
      await this.clock.advance(CLOCK_STEP_MILLISECONDS);
    }
    invariant(
      isDone,
      "The task did not end within 50,000 clock steps of 20 ms",
    );
    return await task;
  }

  /** Stops all nodes. */
  close(): void {
    for (const parts of this.#parts.values()) parts.abortController.abort();
  }

  #createNode(
    position: number,
    options: FakeNodeGroupOptions,
    state: ConstructorParameters<typeof FakePlatform>[1],
  ): FakeNode {
    const name = `node-${position + 1}`;
    const abortController = new AbortController();
    const parts: NodeParts = {
      facts: new Map(),
      listeners: new Map(),
      abortController,
    };
    const platform = new FakePlatform(this.clock, state);
    const log = new RecordingEventLog();
    const context: NodeContext = {
      settings: create(NodeSettingsSchema, {
        node: name,
        stepTailPolicy: options.tailPolicy ?? "none",
      }),
      nodeStart: `${name}-start`,
      clock: this.clock,
      random: createRandomSource(options.seed * 100 + position),
      log,
      metrics: NO_METRICS,
      platform,
      ledger: new MemoryCauseLedger({ clock: this.clock, metrics: NO_METRICS }),
      stopping: abortController.signal,
    };
    const self = (): FakeNode => node;
    const service = new StepService({
      context,
      configuration: {
        current: () => this.configuration,
        adopt: () => {},
        watch: () => () => {},
      },
      replicatedFacts: this.#createReplicatedFacts(self, parts),
      peers: this.#createPeerDirectory(self),
      admission: {
        admit: () => Promise.resolve({ kind: "admitted", release: () => {} }),
        queued: () => 0,
      },
      dispatcher: this.pool.createDispatcher(() => node.isAlive),
    });
    const node: FakeNode = {
      name,
      nodeStart: context.nodeStart,
      failureDomain: `domain-${position % 3}`,
      platform,
      service,
      log,
      isAlive: true,
      killedAt: 0,
      isPartitioned: false,
      isMissingFromLists: false,
    };
    this.#parts.set(node, parts);
    return node;
  }

  #canReach(from: FakeNode, to: FakeNode): boolean {
    return from.isAlive && to.isAlive && !from.isPartitioned &&
      !to.isPartitioned;
  }

  #createReplicatedFacts(
    self: () => FakeNode,
    parts: NodeParts,
  ): ReplicatedFacts {
    const publish = <Kind extends FactKind>(
      kind: Kind,
      key: string,
      value: FactValue<Kind>,
    ): void => {
      const node = self();
      const fact = {
        origin: node.name,
        originStart: node.nodeStart,
        key,
        value,
        receivedAt: this.clock.monotonic(),
      };
      this.#storeFact(parts, kind, fact);
      void this.#broadcastFact(node, kind, fact);
    };
    return {
      publish,
      facts: <Kind extends FactKind>(kind: Kind) =>
        [...parts.facts.entries()]
          .filter(([name]) => name.startsWith(`${kind}:`))
          .map(([, fact]) => fact as unknown as HeldFact<Kind>),
      watch: (kind, listener) => {
        const listeners = parts.listeners.get(kind) ?? new Set();
        parts.listeners.set(kind, listeners);
        listeners.add(listener as unknown as (fact: AnyFact) => void);
        return () => {};
      },
    };
  }

  async #broadcastFact(
    from: FakeNode,
    kind: FactKind,
    fact: AnyFact,
  ): Promise<void> {
    await this.clock.sleep(PEER_LATENCY_MILLISECONDS);
    for (const node of this.nodes) {
      const parts = this.#parts.get(node);
      if (node === from || parts === undefined) continue;
      if (this.#canReach(from, node)) this.#storeFact(parts, kind, fact);
    }
  }

  #storeFact(parts: NodeParts, kind: FactKind, fact: AnyFact): void {
    parts.facts.set(`${kind}:${fact.origin}:${fact.key}`, fact);
    for (const listener of parts.listeners.get(kind) ?? []) listener(fact);
  }

  #createPeerDirectory(self: () => FakeNode): PeerDirectory {
    const peers = (): ReadonlyArray<Peer> => this.#listPeers(self());
    return {
      peers,
      chooseReplicaPeer: () =>
        peers().find((peer) => {
          const node = this.nodes.find((each) => each.name === peer.node);
          return node?.failureDomain !== self().failureDomain;
        }),
      keyAgeMilliseconds: () => 0,
      confirmWithdrawal: () => Promise.resolve(NO_CONFIRMATIONS),
      confirmWeightVersion: async (request) => {
        const confirmed: string[] = [];
        const silent: string[] = [];
        for (const peer of peers()) {
          const done = await this.#callPeer(self(), peer, (node) => {
            node.service.handlers.onWeightVersion(request);
            return true;
          });
          (done === true ? confirmed : silent).push(peer.node);
        }
        return { confirmed, silent, streamsCut: 0 };
      },
      storeSamples: async (peer, request) => {
        const done = await this.#callPeer(self(), peer, (node) => {
          node.service.handlers.onStoreSamples(request);
          return true;
        });
        return done === true;
      },
      fetchSamples: (peer, request) =>
        this.#callPeer(
          self(),
          peer,
          (node) => node.service.handlers.onFetchSamples(request),
        ),
    };
  }

  #listPeers(self: FakeNode): ReadonlyArray<Peer> {
    const now = this.clock.monotonic();
    return this.nodes
      .filter((node) => node !== self && !node.isMissingFromLists)
      .filter((node) =>
        node.isAlive || now - node.killedAt < FAILURE_DETECTION_MILLISECONDS
      )
      .map((node) => ({
        node: node.name,
        nodeStart: node.nodeStart,
        failureDomain: node.failureDomain,
        peerAddress: node.name,
        callerAddress: node.name,
        leaving: false,
        configurationRevision: 1,
        ageMilliseconds: 0,
      }));
  }

  async #callPeer<Answer>(
    from: FakeNode,
    peer: Peer,
    handle: (node: FakeNode) => Answer,
  ): Promise<Answer | undefined> {
    const node = this.nodes.find((each) => each.name === peer.node);
    await this.clock.sleep(PEER_LATENCY_MILLISECONDS);
    if (node === undefined || !this.#canReach(from, node)) {
      await this.clock.sleep(PEER_TIMEOUT_MILLISECONDS);
      return undefined;
    }
    const answer = handle(node);
    await this.clock.sleep(PEER_LATENCY_MILLISECONDS);
    return this.#canReach(node, from) ? answer : undefined;
  }
}

const NO_CONFIRMATIONS: PeerConfirmations = {
  confirmed: [],
  silent: [],
  streamsCut: 0,
};
