/**
 * Time since a node sent its last heartbeat after which callers are no longer told of it. They may be
 * told for 7 s after its end; the rest is for the time between two reads of the heartbeats and for a
 * slow answer of the store. A running node's heartbeat is dated up to 4 s too early at the longest
 * usual interval of 850 ms, as the sender, the reader and the next heartbeat take up to one each.
 */
const ADDRESSABLE_MILLISECONDS = 5000;
/** The same as a number of heartbeat intervals, for deployments with so many nodes that these are long. */
const ADDRESSABLE_HEARTBEATS = 5;
/** Time for which reads are remembered; older heartbeats are too old in any case. */
const MEMORY_MILLISECONDS = 60_000;

interface VersionRead {
  readonly version: number;
  /** Time of the last read that returned the version as the newest one. */
  at: number;
}

/**
 * Dates heartbeats by the versions of the store that they name.
 *
 * Load pattern: the store writes a heartbeat seconds late, a node reads heartbeats seconds after they
 * were written because it could not reach the store, or all of them at once after the store's history
 * was dropped. The time at which a heartbeat is read then says nothing of the time at which it was
 * sent. Its sender has read the version that it names before, so it was sent after any time at which
 * an earlier version was the newest one. Clocks of nodes are not compared.
 * @example
 * ```ts
 * const ages = new HeartbeatAge();
 * ages.recordRead(version, clock.monotonic());
 * const sentAfter = ages.findTimeBefore(record.storeVersion);
 * ```
 */
export class HeartbeatAge {
  /** Reads in ascending order of their versions. */
  readonly #reads: VersionRead[] = [];

  /**
   * Records the newest version of the store at a read.
   * @param version - The version.
   * @param now - Time of the read, on any clock that is the same for all reads.
   */
  recordRead(version: number, now: number): void {
    const last = this.#reads.at(-1);
    if (last !== undefined && version < last.version) return;
    if (last?.version === version) last.at = now;
    else this.#reads.push({ version, at: now });
    const kept = this.#reads.findIndex(({ at }) =>
      now - at < MEMORY_MILLISECONDS
    );
    this.#reads.splice(0, kept);
  }

  /** Returns a time before a version existed; -Infinity if none is known. */
  findTimeBefore(version: number): number {
    return this.#reads.findLast((read) => read.version < version)?.at ??
      -Infinity;
  }
}

/**
 * Whether callers may be told of a node.
 * @param ageMilliseconds - Time since its last heartbeat was sent, at most.
 * @param heartbeatMilliseconds - Interval between two of its heartbeats.
 * @example
 * ```ts
 * const isNamed = isAddressable(now - sentAfter, record.heartbeatMilliseconds);
 * ```
 */
export function isAddressable(
  ageMilliseconds: number,
  heartbeatMilliseconds: number,
): boolean {
  return ageMilliseconds < Math.max(
    ADDRESSABLE_MILLISECONDS,
    ADDRESSABLE_HEARTBEATS * heartbeatMilliseconds,
  );
}

/** The part of a heartbeat that orders the heartbeats of a node. */
export interface VersionedHeartbeat {
  /** Newest version of the store that its sender knew, 0 before the first; undefined if not named. */
  readonly storeVersion?: number | undefined;
}

/**
 * Whether a heartbeat was sent before another one of its node and written after it.
 * @param heartbeat - The heartbeat that was written last.
 * @param known - The other heartbeat.
 * @example
 * ```ts
 * if (isOlderHeartbeat(record, known)) return;
 * ```
 */
export function isOlderHeartbeat(
  { storeVersion = 0 }: VersionedHeartbeat,
  known: VersionedHeartbeat,
): boolean {
  // A process that has just started does not know a version yet.
  return storeVersion > 0 && storeVersion < (known.storeVersion ?? 0);
}
