import type { RandomSource } from "../../source/utilities/random_source.ts";
import type { Clock } from "../../source/utilities/clock.ts";

const MAXIMUM_RETAINED_EVENTS = 20_000;
const MAXIMUM_RETURNED_EVENTS = 2_000;

/** Options for the delay and the loss of cache events. */
export interface CacheEventLogOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Delay before an event is published. */
  readonly lagMilliseconds: number;
  /** Share of events that are lost, from 0 to 1. */
  readonly lossShare: number;
}

/** A published cache event. */
export interface PublishedCacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly ["prefix_digest"]: string;
}

/** Publishes cache events with a delay and with simulated loss. */
export class CacheEventLog {
  readonly #options: CacheEventLogOptions;
  #events: { readonly madeAt: number; readonly event: PublishedCacheEvent }[] =
    [];
  #sequence = 0;

  /** @param options - Clock, random source, lag in milliseconds, and share of lost events. */
  constructor(options: CacheEventLogOptions) {
    this.#options = options;
  }

  /** Adds an event, unless it is selected for loss; a lost event uses up its sequence number. */
  add(kind: "stored" | "evicted", digest: string): void {
    this.#sequence += 1;
    if (this.#options.random.next() < this.#options.lossShare) return;
    const event = { sequence: this.#sequence, kind, ["prefix_digest"]: digest };
    this.#events.push({ madeAt: this.#options.clock.monotonic(), event });
    if (this.#events.length > 2 * MAXIMUM_RETAINED_EVENTS) {
      this.#events = this.#events.slice(-MAXIMUM_RETAINED_EVENTS);
    }
  }

  /** Returns up to 2,000 events after a sequence number that are at least as old as the lag. */
  publishedAfter(sequence: number): ReadonlyArray<PublishedCacheEvent> {
    const { clock, lagMilliseconds } = this.#options;
    const latestVisibleTime = clock.monotonic() - lagMilliseconds;
    return this.#events
      .filter(({ madeAt, event }) =>
        madeAt <= latestVisibleTime && event.sequence > sequence
      )
      .slice(0, MAXIMUM_RETURNED_EVENTS)
      .map(({ event }) => event);
  }
}
