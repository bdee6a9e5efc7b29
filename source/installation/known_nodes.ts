import {
  HeartbeatAge,
  isAddressable,
  isOlderHeartbeat,
} from "../decisions/heartbeat_age.ts";
import type { RowChange } from "../platform/durable_table.ts";
import type { MalformedRows } from "./malformed_rows.ts";
import type { NodeRecord } from "./node_record.ts";
import { readNodeRecord } from "./node_record_row.ts";

/**
 * Time without a heartbeat after which every node that knows the silent node removes it from memory
 * and deletes its row.
 */
const REMOVAL_MILLISECONDS = 60_000;

interface KnownNode {
  readonly record: NodeRecord;
  readonly version: number;
  /**
   * Monotonic time, in milliseconds, at which this node first read the row's current version or, if
   * later, could read the store again after a failure.
   */
  changedAt: number;
  /** Monotonic time, in milliseconds, after which the heartbeat was sent. */
  readonly sentAfter: number;
  /** Whether the node counted as lost at a read since its row changed. */
  isLost: boolean;
}

/** A node that is removed, and the version of the store at which its row was written. */
export interface RemovedNode {
  readonly node: string;
  readonly version: number;
}

/**
 * The nodes whose heartbeats were read, lost ones until they are removed, and how long ago each was
 * heard.
 */
export class KnownNodes {
  /** Nodes by name. */
  readonly #nodes = new Map<string, KnownNode>();
  readonly #heartbeatAge = new HeartbeatAge();
  readonly #malformed: MalformedRows;

  /** @param malformed - Decodes the rows and logs those that can't be decoded. */
  constructor(malformed: MalformedRows) {
    this.#malformed = malformed;
  }

  /** Records of all nodes, also of lost ones. */
  get records(): ReadonlyArray<NodeRecord> {
    return [...this.#nodes.values()].map(({ record }) => record);
  }

  /** Returns the record of a node; undefined if it is not known. */
  get(node: string): NodeRecord | undefined {
    return this.#nodes.get(node)?.record;
  }

  /**
   * Whether callers may be told of a node, as its last heartbeat was sent recently.
   * @param record - The node's record.
   * @param now - Monotonic time, in milliseconds.
   */
  isAddressable(
    { node, heartbeatMilliseconds }: NodeRecord,
    now: number,
  ): boolean {
    const sentAfter = this.#nodes.get(node)?.sentAfter ?? -Infinity;
    return isAddressable(now - sentAfter, heartbeatMilliseconds);
  }

  /**
   * Returns the records of the nodes whose last heartbeat is recent enough.
   * @param milliseconds - The maximum silence.
   * @param readAt - Monotonic time, in milliseconds, of the last read.
   */
  listHeardWithin(
    milliseconds: number,
    readAt: number,
  ): ReadonlyArray<NodeRecord> {
    return [...this.#nodes.values()]
      .filter(({ changedAt }) => readAt - changedAt < milliseconds)
      .map(({ record }) => record);
  }

  /** Records that the store's version was read at a monotonic time, in milliseconds. */
  recordRead(version: number, now: number): void {
    this.#heartbeatAge.recordRead(version, now);
  }

  /** Measures the silence of all nodes anew, from a monotonic time in milliseconds. */
  restartSilence(now: number): void {
    for (const node of this.#nodes.values()) node.changedAt = now;
  }

  /**
   * Applies a change of a node's row.
   * @param change - The change.
   * @param now - Monotonic time, in milliseconds.
   * @returns The heartbeat; undefined if there is none, or one that is older than the known one.
   */
  apply(change: RowChange, now: number): NodeRecord | undefined {
    const { key, version, isDeleted } = change;
    if (isDeleted) {
      this.#nodes.delete(key);
      return undefined;
    }
    const record = this.#malformed.decode(
      key,
      () => readHeartbeat(change),
    );
    if (record === undefined) return undefined;
    const knownNode = this.#nodes.get(key);
    const known = knownNode?.record;
    const { storeVersion } = record;
    if (knownNode !== undefined && isOlderHeartbeat(record, knownNode.record)) {
      this.#nodes.set(key, { ...knownNode, version });
      return undefined;
    }
    const wallOffset = record.wallOffset ??
      (known?.nodeStart === record.nodeStart ? known.wallOffset : undefined);
    this.#nodes.set(key, {
      record: { ...record, wallOffset },
      version,
      changedAt: now,
      // Nodes of an earlier program don't name a version.
      sentAfter: storeVersion === undefined
        ? now
        : this.#heartbeatAge.findTimeBefore(storeVersion),
      isLost: false,
    });
    return record;
  }

  /**
   * Counts the nodes as lost that are silent for too long.
   * @param now - Monotonic time, in milliseconds.
   * @param toLossTimeout - Returns the silence after which a node with an interval between
   *   heartbeats counts as lost, both in milliseconds.
   * @returns The records of the nodes that don't count as lost.
   */
  updateLost(
    now: number,
    toLossTimeout: (heartbeatMilliseconds: number) => number,
  ): ReadonlyArray<NodeRecord> {
    const nodes = [...this.#nodes.values()];
    for (const node of nodes) {
      const silence = now - node.changedAt;
      const { heartbeatMilliseconds } = node.record;
      node.isLost ||= silence >= toLossTimeout(heartbeatMilliseconds);
    }
    return nodes.filter(({ isLost }) => !isLost).map(({ record }) => record);
  }

  /**
   * Removes the nodes that were silent for `REMOVAL_MILLISECONDS`.
   * @param now - Monotonic time, in milliseconds.
   * @returns The removed nodes, whose rows must be deleted.
   */
  removeSilent(now: number): ReadonlyArray<RemovedNode> {
    const silent = [...this.#nodes].filter(([, { changedAt }]) =>
      now - changedAt >= REMOVAL_MILLISECONDS
    );
    for (const [node] of silent) this.#nodes.delete(node);
    return silent.map(([node, { version }]) => ({ node, version }));
  }
}

// A heartbeat that names a later version of the store than its own row would make all others count as
// older.
function readHeartbeat(
  { key, value, version }: RowChange,
): NodeRecord | undefined {
  const record = readNodeRecord(key, value);
  return (record?.storeVersion ?? 0) > version ? undefined : record;
}
