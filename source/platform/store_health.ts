import type { Clock } from "../utilities/clock.ts";

/** The loops that follow tables hear from the store at least once a second while it answers. */
const AWAY_MILLISECONDS = 1500;
/** A refused call fails within milliseconds; one that takes so long hung. */
const HUNG_MILLISECONDS = 500;

/** What a node's own calls tell of the store. */
export class StoreHealth {
  readonly #clock: Clock;
  #answeredAt: number;
  #failureTook = 0;

  /** @param clock - Time; the store counts as answering at first. */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#answeredAt = clock.monotonic();
  }

  /** Whether no call of this node was answered for a while. */
  get isAway(): boolean {
    return this.#clock.monotonic() - this.#answeredAt > AWAY_MILLISECONDS;
  }

  /** Whether the store is away and calls to it hang, so that a request should not wait for one. */
  get isSilent(): boolean {
    return this.isAway && this.#failureTook >= HUNG_MILLISECONDS;
  }

  /** Notes that a call was answered. */
  noteAnswer(): void {
    this.#answeredAt = this.#clock.monotonic();
  }

  /**
   * Notes that a call failed.
   * @param milliseconds - How long it took, without the time that the store was to hold it.
   */
  noteFailure(milliseconds: number): void {
    this.#failureTook = milliseconds;
  }
}
