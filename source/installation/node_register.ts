import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable, RowChange } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";
import {
  type Fleet,
  HEARTBEATS_PER_SECOND,
  toHeartbeatInterval,
  toInterval,
} from "./heartbeat_pace.ts";
import { MalformedRows } from "./malformed_rows.ts";
import { KnownNodes } from "./known_nodes.ts";
import type {
  HeartbeatRead,
  NodeDescription,
  NodeRecord,
} from "./node_record.ts";
import { keepAllRunning } from "../utilities/keep_running.ts";
import { NODE_TABLE, writeNodeRecord } from "./node_record_row.ts";
import { NodeStartLog } from "./node_start_log.ts";
import {
  filterHighCapacity,
  MINIMUM_HIGH_CAPACITY_NODES,
  type NodeCapacity,
} from "./select_high_capacity_nodes.ts";

/** Maximum interval between two heartbeats of a node that runs steps, as these stop with the node. */
const STEP_OWNER_HEARTBEAT_MILLISECONDS = 150;
/** Maximum number of reads that all high-capacity nodes make to detect the loss of such a node. */
const WATCHING_READS_PER_SECOND = 400;
/** Number of heartbeat intervals after which a node without a heartbeat counts as lost. */
const LOSS_HEARTBEATS = 3.4;
/**
 * Number of average store calls whose duration is added to the loss timeout, since a slow store
 * delays all heartbeats.
 */
const LOSS_CALLS = 4;
/** Weight of a new measurement in the moving average of the duration of a store call. */
const CALL_DURATION_SMOOTHING = 0.3;
/**
 * Number of read intervals after which the register counts as loaded, as every running node has
 * sent a heartbeat by then.
 */
const LOADING_INTERVALS = 2;

/** Dependencies of a node register. */
export interface NodeRegisterOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  /** Returns the current description of this node. */
  readonly self: () => NodeDescription;
  readonly stopping: AbortSignal;
}

/**
 * Publishes heartbeats of this node through the store and tracks which other nodes run.
 *
 * Each node writes a row in a partition of its own, so that no heartbeat waits for another one,
 * and follows the heartbeats of all nodes. Every running node soon sends its next heartbeat, so
 * existing rows are not read at the start.
 *
 * A node counts as lost when its row did not change for several intervals in which this node
 * could read the store, or when a newer process has its name. It stays lost until its row changes.
 *
 * Heartbeats may be written and read late, so they name the version of the store that their sender
 * had last read; callers are told only of nodes whose last heartbeat was sent recently.
 */
export class NodeRegister {
  readonly #options: NodeRegisterOptions;
  readonly #knownNodes: KnownNodes;
  readonly #watchers: (() => void)[] = [];
  readonly #startLog: NodeStartLog;
  #others: ReadonlyArray<NodeRecord> = [];
  #fleet: Fleet = { size: 1, highCapacity: 1, isOwnCapacityHigh: true };
  /** Version of the table up to which heartbeats were read. */
  #version: number | undefined;
  /** Newest version of the store that this node knows; 0 before the first. */
  #newestVersion = 0;
  #isReadFailing = false;
  #isLoaded = false;
  #ownHeartbeat: HeartbeatRead | undefined;
  #sentAt = 0;
  /** Monotonic time, in milliseconds, of the last read; nodes count as lost only at a read. */
  #readAt = 0;
  /** Moving average of the duration of a call to the store, in milliseconds. */
  #callMilliseconds = 0;

  /** @param options - The store and this node's record. */
  constructor(options: NodeRegisterOptions) {
    this.#options = options;
    const { clock, log } = options;
    this.#startLog = new NodeStartLog(log);
    this.#knownNodes = new KnownNodes(
      new MalformedRows({
        clock,
        log: (key) => log.emit("rowMalformed", { table: NODE_TABLE, key }),
      }),
    );
  }

  /** Whether the register was followed long enough to know all running nodes. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** The running nodes, this one included. */
  get running(): ReadonlyArray<NodeRecord> {
    return [this.#self(), ...this.#others];
  }

  /** The other running nodes. */
  get others(): ReadonlyArray<NodeRecord> {
    return this.#others;
  }

  /** This process's last heartbeat that was read back; undefined before the first. */
  get ownHeartbeat(): HeartbeatRead | undefined {
    return this.#ownHeartbeat;
  }

  /**
   * Returns the nodes that callers may be told of, this one included.
   * @param isStoreUnreachable - Whether this node can't reach the store; the nodes that it knew last are
   *   returned then.
   */
  listAddressable(isStoreUnreachable: boolean): ReadonlyArray<NodeRecord> {
    const now = this.#options.clock.monotonic();
    const others = this.#others.filter((record) =>
      this.#knownNodes.isAddressable(record, now)
    );
    return [this.#self(), ...isStoreUnreachable ? this.#others : others];
  }

  /**
   * Whether this node gets neither callers nor steps, because there are enough nodes with a higher
   * capacity.
   */
  get isInReserve(): boolean {
    return !this.#fleet.isOwnCapacityHigh &&
      this.#fleet.highCapacity >= MINIMUM_HIGH_CAPACITY_NODES;
  }

  /** Whether the register was read recently enough for its view of other nodes to be valid. */
  get isCurrent(): boolean {
    const age = this.#options.clock.monotonic() - this.#readAt;
    return this.#isLoaded &&
      age < this.#toLossTimeout(this.#readIntervalMilliseconds);
  }

  /** Whether a process runs, according to the last read of the register. */
  isRunning(nodeStart: string): boolean {
    return this.#options.self().nodeStart === nodeStart ||
      this.#others.some((record) => record.nodeStart === nodeStart);
  }

  /** Returns the records of this node and of all nodes whose last heartbeat is recent enough. */
  heardWithin(milliseconds: number): ReadonlyArray<NodeRecord> {
    const own = this.#self();
    const heard = this.#knownNodes.listHeardWithin(milliseconds, this.#readAt);
    return [own, ...heard.filter(({ node }) => node !== own.node)];
  }

  /** Registers a function that is called after each successful read of the register. */
  watch(onRead: () => void): void {
    this.#watchers.push(onRead);
  }

  /** Sends and reads heartbeats until the node stops. */
  async run(): Promise<void> {
    await keepAllRunning({
      sendHeartbeats: () => this.#sendHeartbeats(),
      readHeartbeats: () => this.#readHeartbeats(),
    }, this.#options);
  }

  /** Sends a heartbeat by writing this node's record. */
  async sendHeartbeat(): Promise<void> {
    const record = this.#self();
    const value = writeNodeRecord(record);
    const outcome = await this.#options.table.commit({
      conditions: [],
      puts: [{
        table: NODE_TABLE,
        partition: record.node,
        key: record.node,
        value,
      }],
    });
    if (outcome.kind === "ok" && outcome.value.kind === "committed") {
      this.#updateNewestVersion(outcome.value.version);
    }
  }

  #self(): NodeRecord {
    const heartbeatMilliseconds = this.#heartbeatMilliseconds;
    return {
      ...this.#options.self(),
      heartbeatMilliseconds,
      storeVersion: this.#newestVersion,
    };
  }

  #updateNewestVersion(version: number): void {
    this.#newestVersion = Math.max(this.#newestVersion, version);
  }

  /**
   * Interval between two reads; nodes that send heartbeats often also read often, and high-capacity
   * nodes, which take over steps, as often as nodes with steps send heartbeats.
   */
  get #readIntervalMilliseconds(): number {
    const fleet = this.#fleet;
    const own = toHeartbeatInterval(fleet);
    if (this.isInReserve) return own;
    const common = toInterval(fleet.size, HEARTBEATS_PER_SECOND);
    const usual = Math.min(common, own);
    const isWatching = fleet.isOwnCapacityHigh &&
      this.#others.some(({ isRunningSteps }) => isRunningSteps);
    if (!isWatching) return usual;
    const watching = Math.max(
      STEP_OWNER_HEARTBEAT_MILLISECONDS,
      1000 * fleet.highCapacity / WATCHING_READS_PER_SECOND,
    );
    return Math.min(usual, watching);
  }

  // High-capacity nodes run the steps and send heartbeats more often, so that their loss is
  // detected sooner.
  get #heartbeatMilliseconds(): number {
    const usual = toHeartbeatInterval(this.#fleet);
    return this.#options.self().isRunningSteps
      ? Math.min(usual, STEP_OWNER_HEARTBEAT_MILLISECONDS)
      : usual;
  }

  // Counted at each read and not when it is needed, since the count goes through all nodes.
  #countFleet(): void {
    const own = this.#options.self();
    const others = this.#knownNodes.records.filter(({ node }) =>
      node !== own.node
    );
    const all = [own, ...others];
    const highCapacity = filterHighCapacity<NodeCapacity>(all);
    this.#fleet = {
      size: all.length,
      highCapacity: highCapacity.length,
      isOwnCapacityHigh: highCapacity.includes(own),
    };
  }

  #toLossTimeout(heartbeatMilliseconds: number): number {
    return LOSS_HEARTBEATS * heartbeatMilliseconds +
      LOSS_CALLS * this.#callMilliseconds;
  }

  async #sendHeartbeats(): Promise<void> {
    const { clock, stopping } = this.#options;
    while (!stopping.aborted) {
      await this.sendHeartbeat();
      await clock.sleep(this.#heartbeatMilliseconds, stopping);
    }
  }

  async #readHeartbeats(): Promise<void> {
    const { clock, stopping } = this.#options;
    const startedAt = clock.monotonic();
    while (!stopping.aborted) {
      const hasRead = await this.#read();
      const elapsed = clock.monotonic() - startedAt;
      this.#isLoaded ||= hasRead &&
        elapsed > LOADING_INTERVALS * this.#readIntervalMilliseconds;
      await clock.sleep(this.#readIntervalMilliseconds, stopping);
    }
  }

  async #read(): Promise<boolean> {
    const { clock, table } = this.#options;
    const sentAt = this.#sentAt = clock.monotonic();
    const changes = await this.#follow();
    const now = clock.monotonic();
    if (changes === undefined) {
      this.#isReadFailing = true;
      return false;
    }
    this.#callMilliseconds += CALL_DURATION_SMOOTHING *
      (now - sentAt - this.#callMilliseconds);
    // Other nodes may have been unable to write too, so their silence is measured from now on.
    if (this.#isReadFailing) this.#knownNodes.restartSilence(now);
    this.#isReadFailing = false;
    this.#readAt = now;
    for (const change of changes) this.#apply(change, now);
    this.#recordVersion(now);
    this.#startLog.update(
      changes.flatMap(({ key }) => this.#knownNodes.get(key) ?? []),
    );
    this.#removeLost(now, table);
    this.#others = this.#findOthers(now);
    this.#countFleet();
    for (const onRead of this.#watchers) onRead();
    return true;
  }

  // Returns the heartbeats since the last read; undefined when the store did not return them or
  // only the version from which they are followed was read.
  async #follow(): Promise<ReadonlyArray<RowChange> | undefined> {
    const { table } = this.#options;
    if (this.#version === undefined) {
      const outcome = await table.read(NODE_TABLE, { partition: "" });
      if (outcome.kind === "ok") {
        this.#version = outcome.value.version;
        this.#recordVersion(this.#options.clock.monotonic());
      }
      return undefined;
    }
    const outcome = await table.follow(NODE_TABLE, {
      after: this.#version,
      waitMilliseconds: this.#readIntervalMilliseconds,
    });
    if (outcome.kind !== "ok") return undefined;
    if (outcome.value.kind === "expired") {
      this.#version = undefined;
      return undefined;
    }
    this.#version = Math.max(this.#version, outcome.value.version);
    return outcome.value.changes;
  }

  #recordVersion(now: number): void {
    const version = this.#version ?? 0;
    this.#knownNodes.recordRead(version, now);
    this.#updateNewestVersion(version);
  }

  #apply(change: RowChange, now: number): void {
    const record = this.#knownNodes.apply(change, now);
    if (record === undefined) return;
    if (record.nodeStart === this.#options.self().nodeStart) {
      this.#ownHeartbeat = { record, sentAt: this.#sentAt };
    }
  }

  #findOthers(now: number): ReadonlyArray<NodeRecord> {
    const own = this.#options.self().node;
    return this.#knownNodes
      .updateLost(now, (milliseconds) => this.#toLossTimeout(milliseconds))
      .filter(({ node }) => node !== own);
  }

  #removeLost(now: number, table: DurableTable): void {
    for (const { node, version } of this.#knownNodes.removeSilent(now)) {
      this.#startLog.forget(node);
      const place = { table: NODE_TABLE, partition: node, key: node };
      void table.commit({
        conditions: [{ ...place, version }],
        puts: [],
        deletes: [place],
      });
    }
  }
}
