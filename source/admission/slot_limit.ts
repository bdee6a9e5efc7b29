import type { ServiceCapacity } from "./capacity_estimate.ts";

const INITIAL_SLOTS = 8;
const MAXIMUM_SAMPLES = 64;

interface RunningSample {
  readonly at: number;
  readonly running: number;
}

/** Load of this node and number of competing nodes, from which the limit is computed. */
export interface SlotDemand {
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Number of requests running through this node. */
  readonly running: number;
  /** Number of live nodes, this one included. */
  readonly liveNodes: number;
  /** Whether this node is guaranteed an equal share of the capacity. */
  readonly guaranteesEqualShare: boolean;
  /** Number of nodes with waiting requests, this one included if it has any. */
  readonly nodesWithWaiting: number;
}

/**
 * Limits how many requests of a service run at once through this node.
 *
 * The node claims its share of the slots that the last load reports show as free, and reduces its limit
 * in proportion when they show more requests than slots. If the policy guarantees each node an equal
 * share, the limit never falls below that share.
 */
export class SlotLimit {
  #slots = INITIAL_SLOTS;
  #samples: RunningSample[] = [];

  /** Returns the number of slots. */
  get slots(): number {
    return this.#slots;
  }

  /** Recomputes the limit from the capacity in the load reports. */
  update(capacity: ServiceCapacity, demand: SlotDemand): void {
    this.#addSample({ at: demand.now, running: demand.running });
    if (capacity.servers === 0) return;
    const runningAtReport = this.#runningAt(
      demand.now - capacity.reportAgeMilliseconds,
    );
    const equalShare = demand.guaranteesEqualShare
      ? Math.ceil(capacity.slots / demand.liveNodes)
      : 1;
    const free = capacity.slots - capacity.occupied;
    const target = free >= 0
      ? runningAtReport +
        Math.floor(free / Math.max(1, demand.nodesWithWaiting))
      : Math.floor(runningAtReport * capacity.slots / capacity.occupied);
    this.#slots = Math.max(1, equalShare, target);
  }

  #addSample(sample: RunningSample): void {
    this.#samples.push(sample);
    if (this.#samples.length > MAXIMUM_SAMPLES) this.#samples.shift();
  }

  // The reports include the requests that ran through this node when they were made, and no later ones.
  #runningAt(time: number): number {
    let found = this.#samples[0]?.running ?? 0;
    for (const { at, running } of this.#samples) {
      if (at > time) break;
      found = running;
    }
    return found;
  }
}
