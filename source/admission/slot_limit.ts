import type { ServiceCapacity } from "./capacity_estimate.ts";

const FIRST_SLOTS = 8;
const MAXIMUM_SAMPLES = 64;

interface RunningSample {
  readonly at: number;
  readonly running: number;
}

/** What this node and the others do, when a limit is worked out. */
export interface SlotDemand {
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Requests that run through this node. */
  readonly running: number;
  readonly liveNodes: number;
  /** Whether an equal part of the capacity is always this node's. */
  readonly ownsEqualPart: boolean;
  /** Nodes with requests waiting, this one included if it has any. */
  readonly hungryNodes: number;
}

/**
 * How many requests of a service may run at once through this node.
 *
 * The node takes its share of what the last load reports show as free, and gives back when they show
 * more than the servers carry. Where the policy says so, an equal part is always this node's.
 */
export class SlotLimit {
  #slots = FIRST_SLOTS;
  #samples: RunningSample[] = [];

  /** Returns the limit. */
  get slots(): number {
    return this.#slots;
  }

  /** Works the limit out anew from load reports. */
  update(capacity: ServiceCapacity, demand: SlotDemand): void {
    this.#addSample({ at: demand.now, running: demand.running });
    if (capacity.servers === 0) return;
    const own = this.#runningAt(demand.now - capacity.reportAge);
    const equalPart = demand.ownsEqualPart
      ? Math.ceil(capacity.slots / demand.liveNodes)
      : 1;
    const free = capacity.slots - capacity.occupied;
    const wanted = free >= 0
      ? own + Math.floor(free / Math.max(1, demand.hungryNodes))
      : Math.floor(own * capacity.slots / capacity.occupied);
    this.#slots = Math.max(1, equalPart, wanted);
  }

  #addSample(sample: RunningSample): void {
    this.#samples.push(sample);
    if (this.#samples.length > MAXIMUM_SAMPLES) this.#samples.shift();
  }

  // What ran here when the reports were made: they include that and nothing later.
  #runningAt(time: number): number {
    let found = this.#samples[0]?.running ?? 0;
    for (const { at, running } of this.#samples) {
      if (at > time) break;
      found = running;
    }
    return found;
  }
}
