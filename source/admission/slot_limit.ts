import type { ServiceCapacity } from "./capacity_estimate.ts";

const INITIAL_SLOTS = 8;
const MAXIMUM_MEASUREMENTS = 64;

interface RunningCount {
  /** Monotonic time in milliseconds. */
  readonly measuredAt: number;
  readonly running: number;
}

/** Load of this node and counts of nodes, from which the limit is computed. */
export interface SlotLimitInput {
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Number of requests running through this node. */
  readonly running: number;
  /** Number of live nodes, this one included. */
  readonly liveNodes: number;
  /** Whether the policy guarantees each live node an equal share of the slots. */
  readonly isEqualShareGuaranteed: boolean;
  /** Number of nodes with waiting requests, this one included if it has any. */
  readonly nodesWithWaiting: number;
}

/**
 * Limits how many requests of a service run at once through this node.
 *
 * The limit is the number of requests that ran through this node at the time of the last load reports,
 * plus an equal share of the free slots among the nodes with waiting requests. When the reports show
 * more requests than slots, the limit is the number of requests that ran through this node, times
 * slots / requests. If the policy guarantees each node an equal share of the slots, the limit never
 * falls below that share.
 */
export class SlotLimit {
  #slots = INITIAL_SLOTS;
  #measurements: RunningCount[] = [];

  /** Maximum number of requests that run at once through this node. */
  get slots(): number {
    return this.#slots;
  }

  /**
   * Recomputes the limit from the capacity that was estimated from the load reports; leaves it
   * unchanged while no server accepts new work.
   */
  update(capacity: ServiceCapacity, input: SlotLimitInput): void {
    this.#addMeasurement({ measuredAt: input.now, running: input.running });
    if (capacity.servers === 0) return;
    const runningAtReport = this.#runningAt(
      input.now - capacity.reportAgeMilliseconds,
    );
    const guaranteedSlots = input.isEqualShareGuaranteed
      ? Math.ceil(capacity.slots / input.liveNodes)
      : 1;
    const free = capacity.slots - capacity.occupied;
    const targetSlots = free >= 0
      ? runningAtReport +
        Math.floor(free / Math.max(1, input.nodesWithWaiting))
      : Math.floor(runningAtReport * capacity.slots / capacity.occupied);
    this.#slots = Math.max(1, guaranteedSlots, targetSlots);
  }

  #addMeasurement(measurement: RunningCount): void {
    this.#measurements.push(measurement);
    if (this.#measurements.length > MAXIMUM_MEASUREMENTS) {
      this.#measurements.shift();
    }
  }

  // Returns how many requests ran through this node at a monotonic time in milliseconds: that of
  // the load reports, because the reports count only the requests that ran when they were made.
  #runningAt(time: number): number {
    let found = this.#measurements[0]?.running ?? 0;
    for (const { measuredAt, running } of this.#measurements) {
      if (measuredAt > time) break;
      found = running;
    }
    return found;
  }
}
