import type { RandomSource } from "../../source/utilities/random_source.ts";
import type { Clock } from "../../source/utilities/clock.ts";

const MAXIMUM_EVENTS = 20_000;
const MAXIMUM_ANSWERED = 2_000;

/** How late and how incompletely cache events are published. */
export interface CacheEventLogOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly lagMilliseconds: number;
  readonly lossShare: number;
}

/** A published cache event. */
export interface PublishedCacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly ["prefix_digest"]: string;
}

/** Publishes cache events late and with gaps. */
export class CacheEventLog {
  readonly #options: CacheEventLogOptions;
  #events: { readonly at: number; readonly event: PublishedCacheEvent }[] = [];
  #sequence = 0;

  /** @param options - Lag and loss. */
  constructor(options: CacheEventLogOptions) {
    this.#options = options;
  }

  /** Adds an event, or loses it. */
  add(kind: "stored" | "evicted", digest: string): void {
    this.#sequence += 1;
    if (this.#options.random.next() < this.#options.lossShare) return;
    const event = { sequence: this.#sequence, kind, ["prefix_digest"]: digest };
    this.#events.push({ at: this.#options.clock.monotonic(), event });
    if (this.#events.length > 2 * MAXIMUM_EVENTS) {
      this.#events = this.#events.slice(-MAXIMUM_EVENTS);
    }
  }

  /** Returns the events after a sequence number that are old enough to be published. */
  after(sequence: number): ReadonlyArray<PublishedCacheEvent> {
    const { clock, lagMilliseconds } = this.#options;
    const newest = clock.monotonic() - lagMilliseconds;
    return this.#events
      .filter(({ at, event }) => at <= newest && event.sequence > sequence)
      .slice(0, MAXIMUM_ANSWERED)
      .map(({ event }) => event);
  }
}
