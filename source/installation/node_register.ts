import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable, RowChange } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";
import { readStart, toProcessIdentity } from "./process_identity.ts";
import type { EngineUseRecord, NodeRecord } from "./node_record.ts";
import { isStrong } from "./select_strong_nodes.ts";

const TABLE = "nodes";
/** Three of them without a sign make a node count as lost; its steps stand still for so long. */
const SIGN_INTERVAL_MILLISECONDS = 300;
/** Signs of all nodes together; each node reads them all. */
const SIGNS_PER_SECOND = 120;
/** Share of the signs that the strong nodes make, where there are others: they run the steps. */
const STRONG_SIGN_SHARE = 0.7;
const SILENT_SIGNS = 3.4;
/** A slow store delays the signs of all nodes alike: so many calls of its present length are waited for. */
const SILENT_CALLS = 4;
const CALL_WEIGHT = 0.3;
/** Signs of others that are waited for before the register counts as read. */
const FIRST_SIGNS = 2;
/** Nodes that are gone for longer are forgotten, and their rows deleted by whoever saw them. */
const FORGET_MILLISECONDS = 60_000;

/** What a node register works with. */
export interface NodeRegisterOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  /** What this node tells of itself now. */
  readonly self: () => Omit<NodeRecord, "signMilliseconds">;
  readonly stopping: AbortSignal;
}

interface SeenNode {
  readonly record: NodeRecord;
  readonly version: number;
  /** When the row's present version was first seen, by this node's clock. */
  changedAt: number;
}

/**
 * Tells the other nodes through the store that this one runs, and follows which others run.
 *
 * Each node writes a row in a partition of its own, so that no sign waits for another one, and
 * follows the signs of all. Since every running node signs again soon, nothing has to be read
 * at the start.
 * A node counts as lost when its row did not change for some intervals in which this node
 * could read the store, or when its name belongs to a newer process.
 */
export class NodeRegister {
  readonly #options: NodeRegisterOptions;
  readonly #seen = new Map<string, SeenNode>();
  readonly #watchers: (() => void)[] = [];
  #others: ReadonlyArray<NodeRecord> = [];
  #version: number | undefined;
  #isReadFailing = false;
  #isRead = false;
  /** When the register was last read; silence counts only as far. */
  #readAt = 0;
  /** How long a call to the store takes at present. */
  #callMilliseconds = 0;

  /** @param options - The store and this node's record. */
  constructor(options: NodeRegisterOptions) {
    this.#options = options;
  }

  /** Whether the register was read at least once. */
  get isRead(): boolean {
    return this.#isRead;
  }

  /** The nodes that run, this one included. */
  get running(): ReadonlyArray<NodeRecord> {
    return [this.#self(), ...this.#others];
  }

  /** The other nodes that run. */
  get others(): ReadonlyArray<NodeRecord> {
    return this.#others;
  }

  /** Whether the register could be read lately, so that what it says of other nodes holds. */
  get isCurrent(): boolean {
    const age = this.#options.clock.monotonic() - this.#readAt;
    return this.#isRead && age < this.#toSilence(this.#readMilliseconds);
  }

  /** Whether a process runs, as far as this node can tell. */
  isRunning(nodeStart: string): boolean {
    return this.#options.self().nodeStart === nodeStart ||
      this.#others.some((record) => record.nodeStart === nodeStart);
  }

  /** Calls a function after each reading of the register. */
  watch(onRead: () => void): void {
    this.#watchers.push(onRead);
  }

  /** Writes and reads until the node stops. */
  async run(): Promise<void> {
    await Promise.all([this.#keepSigning(), this.#keepReading()]);
  }

  /** Writes this node's record at once. */
  async sign(): Promise<void> {
    const { table } = this.#options;
    const record = this.#self();
    const value = writeRecord(record);
    await table.commit({
      conditions: [],
      puts: [{
        table: TABLE,
        partition: record.node,
        key: record.node,
        value,
      }],
    });
  }

  #self(): NodeRecord {
    const signMilliseconds = this.#signMilliseconds;
    return { ...this.#options.self(), signMilliseconds };
  }

  /** Time between two readings; nodes that sign often also read often. */
  get #readMilliseconds(): number {
    const common = toInterval(this.#seen.size, SIGNS_PER_SECOND);
    return Math.min(common, this.#signMilliseconds);
  }

  // The nodes that run steps sign oftener, so that their loss is soon seen.
  get #signMilliseconds(): number {
    const own = this.#options.self();
    const others = [...this.#seen.values()].map(({ record }) => record)
      .filter(({ node }) => node !== own.node);
    const all = [own, ...others];
    const strong = all.filter((node) => isStrong(node, all)).length;
    const weak = all.length - strong;
    if (weak === 0) return toInterval(strong, SIGNS_PER_SECOND);
    const share = isStrong(own, all)
      ? STRONG_SIGN_SHARE
      : 1 - STRONG_SIGN_SHARE;
    const count = isStrong(own, all) ? strong : weak;
    return toInterval(count, share * SIGNS_PER_SECOND);
  }

  #toSilence(signMilliseconds: number): number {
    return SILENT_SIGNS * signMilliseconds +
      SILENT_CALLS * this.#callMilliseconds;
  }

  async #keepSigning(): Promise<void> {
    const { clock, stopping } = this.#options;
    while (!stopping.aborted) {
      await this.sign();
      await clock.sleep(this.#signMilliseconds, stopping);
    }
  }

  async #keepReading(): Promise<void> {
    const { clock, stopping } = this.#options;
    const startedAt = clock.monotonic();
    while (!stopping.aborted) {
      const isFollowed = await this.#read();
      const heard = clock.monotonic() - startedAt;
      this.#isRead ||= isFollowed &&
        heard > FIRST_SIGNS * this.#readMilliseconds;
      await clock.sleep(this.#readMilliseconds, stopping);
    }
  }

  async #read(): Promise<boolean> {
    const { clock, table } = this.#options;
    const sentAt = clock.monotonic();
    const changes = await this.#follow();
    const now = clock.monotonic();
    if (changes === undefined) {
      this.#isReadFailing = true;
      return false;
    }
    this.#callMilliseconds += CALL_WEIGHT *
      (now - sentAt - this.#callMilliseconds);
    // Nodes may have been unable to write too: their silence counts from now on.
    if (this.#isReadFailing) {
      for (const node of this.#seen.values()) node.changedAt = now;
    }
    this.#isReadFailing = false;
    this.#readAt = now;
    for (const change of changes) this.#apply(change, now);
    this.#forgetLost(now, table);
    this.#others = this.#findOthers(now);
    for (const onRead of this.#watchers) onRead();
    return true;
  }

  // Returns what was signed since the last reading; undefined when the store did not tell.
  async #follow(): Promise<ReadonlyArray<RowChange> | undefined> {
    const { table } = this.#options;
    if (this.#version === undefined) {
      const outcome = await table.read(TABLE, { partition: "" });
      if (outcome.kind === "ok") this.#version = outcome.value.version;
      return undefined;
    }
    const outcome = await table.follow(TABLE, {
      after: this.#version,
      waitMilliseconds: this.#readMilliseconds,
    });
    if (outcome.kind !== "ok") return undefined;
    if (outcome.value.kind === "expired") {
      this.#version = undefined;
      return undefined;
    }
    this.#version = Math.max(this.#version, outcome.value.version);
    return outcome.value.changes;
  }

  #apply(change: RowChange, now: number): void {
    const { key, value, version, isDeleted } = change;
    if (isDeleted) {
      this.#seen.delete(key);
      return;
    }
    const record = readRecord(key, value);
    if (record === undefined) return;
    this.#noteStart(key, record);
    this.#seen.set(key, { record, version, changedAt: now });
  }

  #findOthers(now: number): ReadonlyArray<NodeRecord> {
    const own = this.#options.self().node;
    return [...this.#seen.values()]
      .filter(({ record, changedAt }) =>
        record.node !== own &&
        now - changedAt < this.#toSilence(record.signMilliseconds)
      )
      .map(({ record }) => record);
  }

  #noteStart(node: string, record: NodeRecord): void {
    if (this.#seen.get(node)?.record.nodeStart === record.nodeStart) return;
    const { nodeStart } = record;
    this.#options.log.emit("nodeSeen", { node, nodeStart });
  }

  #forgetLost(now: number, table: DurableTable): void {
    for (const [name, { changedAt, version }] of this.#seen) {
      if (now - changedAt < FORGET_MILLISECONDS) continue;
      this.#seen.delete(name);
      const place = { table: TABLE, partition: name, key: name };
      void table.commit({
        conditions: [{ ...place, version }],
        puts: [],
        deletes: [place],
      });
    }
  }
}

// Every node reads the rows of all nodes again and again, so they are short.
type ShortRecord = readonly [
  start: string,
  failureDomain: string,
  processorShare: number,
  callerAddress: string,
  isServing: number,
  signMilliseconds: number,
  engineUse?: EngineUseRecord,
];

function writeRecord(record: NodeRecord): Buffer {
  const base = [
    readStart(record.nodeStart),
    record.failureDomain,
    record.processorShare,
    record.callerAddress,
    Number(record.isServing),
    Math.round(record.signMilliseconds),
  ] as const;
  const { engineUse } = record;
  const short: ShortRecord = engineUse === undefined
    ? base
    : [...base, engineUse];
  return Buffer.from(JSON.stringify(short));
}

function readRecord(node: string, value: Buffer): NodeRecord | undefined {
  try {
    const short = JSON.parse(value.toString()) as ShortRecord;
    const [start, failureDomain, processorShare, callerAddress] = short;
    return {
      node,
      nodeStart: toProcessIdentity(node, start),
      failureDomain,
      processorShare,
      callerAddress,
      isServing: short[4] === 1,
      signMilliseconds: short[5],
      engineUse: short[6],
    };
  } catch {
    // Another writer's row names no node.
    return undefined;
  }
}

function toInterval(nodes: number, signsPerSecond: number): number {
  return Math.max(SIGN_INTERVAL_MILLISECONDS, 1000 * nodes / signsPerSecond);
}
