import type { Clock } from "../utilities/clock.ts";
import { isUnixTime } from "../utilities/number_ranges.ts";

/** Number of answers of the store from which its time is derived. */
const MAXIMUM_STORE_OFFSETS = 32;
/** Minimum number of nodes whose clocks are known before the median of them is used. */
const MINIMUM_CLOCKS = 3;

/** Dependencies of a shared clock. */
export interface SharedClockOptions {
  /** Clock of this node. */
  readonly clock: Clock;
  /**
   * Returns the last known differences of the other running nodes, in milliseconds, between the wall
   * clock and the time of the store.
   */
  readonly otherOffsets: () => ReadonlyArray<number>;
}

/**
 * Wall clock on which the nodes agree, for times that are stored and compared on other nodes.
 *
 * The wall clock of a single node may be wrong or step by seconds. The store's answers contain a
 * steady time, so each node knows the difference of its wall clock to it, and the median of the
 * nodes' differences gives a time that no single node can shift. Until the store has answered and
 * enough nodes are known, the node's own wall clock is used.
 */
export class SharedClock implements Clock {
  readonly #options: SharedClockOptions;
  /** Differences of the store's time to the monotonic clock, the newest last. */
  readonly #storeOffsets: number[] = [];

  /** @param options - This node's clock and the other nodes' differences. */
  constructor(options: SharedClockOptions) {
    this.#options = options;
  }

  /** Returns the milliseconds of this node's monotonic clock. */
  monotonic(): number {
    return this.#options.clock.monotonic();
  }

  /** Waits for a duration on this node's clock. */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return this.#options.clock.sleep(milliseconds, signal);
  }

  /** Returns the agreed time in milliseconds since the Unix epoch. */
  wall(): number {
    const own = this.ownOffset;
    if (own === undefined) return this.#options.clock.wall();
    const storeTime = this.#storeTime();
    const others = this.#options.otherOffsets().filter((offset) =>
      isUnixTime(storeTime + offset)
    );
    const offsets = [own, ...others];
    if (offsets.length < MINIMUM_CLOCKS) return this.#options.clock.wall();
    offsets.sort((left, right) => left - right);
    const median = offsets[offsets.length >> 1] ?? own;
    return storeTime + median;
  }

  /**
   * Difference between this node's wall clock and the time of the store, in milliseconds; undefined
   * until the store has answered.
   */
  get ownOffset(): number | undefined {
    return this.#storeOffsets.length === 0
      ? undefined
      : this.#options.clock.wall() - this.#storeTime();
  }

  /** Records the store's time, in milliseconds, from an answer that has just arrived. */
  recordStoreTime(milliseconds: number): void {
    this.#storeOffsets.push(milliseconds - this.monotonic());
    if (this.#storeOffsets.length > MAXIMUM_STORE_OFFSETS) {
      this.#storeOffsets.shift();
    }
  }

  // An answer that was delayed shows an earlier time, and so does a monotonic clock that did not
  // count a suspension, so the latest of the times is the closest one.
  #storeTime(): number {
    return this.monotonic() + Math.max(...this.#storeOffsets);
  }
}
