import type { Clock } from "../utilities/clock.ts";

/**
 * Time since the table, directly or through peers, confirmed this node's view of keys. Only durations on this
 * node's clock are added up; a peer's word counts from when this node sent the heartbeat that it echoes.
 */
export class KeyFreshness {
  readonly #clock: Clock;
  #freshAt = -Infinity;

  readonly #tableAge: () => number;

  /**
   * @param clock - This node's clock.
   * @param tableAge - Returns the time since another part of the node got word from the table, in milliseconds.
   */
  constructor(clock: Clock, tableAge: () => number = () => Infinity) {
    this.#clock = clock;
    this.#tableAge = tableAge;
  }

  /**
   * Notes that the table answered a read of withdrawals, all of which are applied now.
   * @param sentAt - Monotonic time at which the read was sent, in milliseconds.
   */
  noteTable(sentAt: number): void {
    this.#freshAt = Math.max(this.#freshAt, sentAt);
  }

  /**
   * Notes a peer's word.
   * @param askedAt - Monotonic time at which this node sent what the peer echoes, in milliseconds.
   * @param peerAge - Age of the peer's own view, in milliseconds.
   */
  notePeer(askedAt: number, peerAge: number): void {
    this.#freshAt = Math.max(this.#freshAt, askedAt - peerAge);
  }

  /** Returns the age of this node's view of keys, in milliseconds; infinite before the first word. */
  ageMilliseconds(): number {
    const age = this.#clock.monotonic() - this.#freshAt;
    return Math.min(age, this.#tableAge());
  }
}
