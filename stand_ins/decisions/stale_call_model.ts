import { ServerCallStatistics } from "../../source/calls/server_call_statistics.ts";
import type { BackendServerEntry } from "../../source/installation/backend_server_entry.ts";
import { ServerLimits } from "../../source/installation/server_limits.ts";
import { SlotSharing } from "../../source/installation/slot_sharing.ts";
import type { Rendezvous } from "../../source/membership/rendezvous.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";
import { createServerEntry } from "../installation/create_server_entry.ts";

const TICK_MILLISECONDS = 10;
const DURATION_MILLISECONDS = 20_000;
const HEARTBEAT_MILLISECONDS = 500;
const SLOTS = 6;
const QUEUE = 2;
const LARGEST_FACTOR = 2.4;

/** What the model of calls varies. */
export interface StaleCallOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly servers: number;
  /** Share of the slots that are in use on average. */
  readonly load: number;
  /** Mean duration of a call at the fastest server. */
  readonly callMilliseconds: number;
}

/** Figures of a run of the model. */
export interface StaleCallFigures {
  readonly calls: number;
  /** Calls to a server without slot and queue while another one had a free slot. */
  readonly overfull: number;
  readonly meanMilliseconds: number;
  readonly connections: number;
}

interface Server {
  readonly entry: BackendServerEntry;
  readonly factor: number;
  running: number;
}

interface NodeState {
  readonly name: string;
  readonly statistics: ServerCallStatistics;
  readonly sharing: SlotSharing;
  readonly connected: Set<string>;
  published: Readonly<Record<string, number>>;
}

/** Model of nodes that choose plain servers for calls from a view of each other that is old. */
export class StaleCallModel {
  readonly #options: StaleCallOptions;
  readonly #random: RandomSource;
  readonly #servers: ReadonlyArray<Server>;
  readonly #nodes: ReadonlyArray<NodeState>;
  readonly #actions = new Map<number, (() => void)[]>();
  readonly #durations: number[] = [];
  #now = 0;
  #overfull = 0;

  /**
   * @param options - The seed, the load and the sizes.
   * @param more - Whether the slots are shared, and the order of the nodes at each server.
   */
  constructor(
    options: StaleCallOptions,
    more: { readonly isShared: boolean; readonly rendezvous: Rendezvous },
  ) {
    this.#options = options;
    this.#random = createRandomSource(options.seed);
    this.#servers = Array.from(
      { length: options.servers },
      (_unused, index) => ({
        entry: createServerEntry(`p${index}`, { slots: SLOTS }),
        factor: 1 + (LARGEST_FACTOR - 1) * index / (options.servers - 1),
        running: 0,
      }),
    );
    this.#nodes = Array.from(
      { length: options.nodes },
      (_unused, index) => this.#createNode(index, more),
    );
  }

  /** Runs the model and returns its figures. */
  run(): StaleCallFigures {
    const { servers, load, callMilliseconds } = this.#options;
    const mean = callMilliseconds * (1 + LARGEST_FACTOR) / 2;
    const perTick = load * servers * SLOTS / mean * TICK_MILLISECONDS;
    for (let now = 0; now < DURATION_MILLISECONDS; now += TICK_MILLISECONDS) {
      this.#now = now;
      for (const run of this.#actions.get(now) ?? []) run();
      this.#actions.delete(now);
      this.#exchange();
      for (let chance = perTick; chance > 0; chance -= 1) {
        if (this.#random.next() < chance) this.#call();
      }
    }
    const total = this.#durations.reduce((sum, each) => sum + each, 0);
    return {
      calls: this.#durations.length,
      overfull: this.#overfull,
      meanMilliseconds: Math.round(total / this.#durations.length),
      connections: this.#nodes.reduce(
        (sum, { connected }) => sum + connected.size,
        0,
      ),
    };
  }

  #createNode(
    index: number,
    { isShared, rendezvous }: {
      readonly isShared: boolean;
      readonly rendezvous: Rendezvous;
    },
  ): NodeState {
    const clock: Clock = {
      monotonic: () => this.#now,
      wall: () => this.#now,
      sleep: () => Promise.resolve(),
    };
    const name = `n${index}`;
    const connected = new Set<string>();
    const sharing = new SlotSharing({
      node: name,
      clock,
      rendezvous,
      findService: () => this.#servers[0]?.entry.service,
    });
    const statistics = new ServerCallStatistics({
      clock,
      random: createRandomSource(index),
      failureDomain: "a",
      limits: new ServerLimits({
        node: name,
        clock,
        log: new RecordingEventLog(),
      }),
      isConnected: ({ identifier }) => connected.has(identifier),
      ...(isShared ? { sharing } : {}),
    });
    return { name, statistics, sharing, connected, published: {} };
  }

  // Each node publishes at its own moment and applies what the others published.
  #exchange(): void {
    this.#nodes.forEach((node, index) => {
      const phase = index * TICK_MILLISECONDS % HEARTBEAT_MILLISECONDS;
      if (this.#now % HEARTBEAT_MILLISECONDS !== phase) return;
      node.published = node.statistics.runningByServer();
      node.sharing.recordPublished(node.published);
      const elsewhere = new Map<string, number>();
      const others = this.#nodes.filter((other) => other !== node);
      for (const { published } of others) {
        for (const [server, count] of Object.entries(published)) {
          elsewhere.set(server, (elsewhere.get(server) ?? 0) + count);
        }
      }
      node.statistics.setRunningElsewhere(elsewhere);
      node.sharing.apply(others.map(({ name, published }) => ({
        node: name,
        engineUse: { running: published, loads: [] },
      })));
    });
  }

  #call(): void {
    const node = this.#nodes[this.#random.nextBelow(this.#nodes.length)];
    const entries = this.#servers.map(({ entry }) => entry);
    const picked = node?.statistics.pick(entries);
    const server = this.#servers.find(({ entry }) => entry === picked);
    if (node === undefined || server === undefined) return;
    const { identifier } = server.entry;
    node.connected.add(identifier);
    const isFull = server.running >= SLOTS + QUEUE;
    if (isFull && this.#servers.some(({ running }) => running < SLOTS)) {
      this.#overfull += 1;
    }
    node.statistics.recordStart(identifier);
    server.running += 1;
    // Calls beyond the slots wait for one.
    const waiting = Math.max(0, server.running - SLOTS) / SLOTS;
    const took = this.#options.callMilliseconds * server.factor *
      (0.5 + this.#random.next() + waiting);
    this.#durations.push(took);
    const ticks = Math.max(1, Math.round(took / TICK_MILLISECONDS));
    const at = this.#now + ticks * TICK_MILLISECONDS;
    const actions = this.#actions.get(at) ?? [];
    actions.push(() => {
      server.running -= 1;
      node.statistics.recordEnd(identifier);
      node.statistics.recordSuccess(identifier, took);
    });
    this.#actions.set(at, actions);
  }
}
