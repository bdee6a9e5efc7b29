import type { Clock } from "../utilities/clock.ts";

/**
 * Tracks the time since the platform's table, directly or through peers, confirmed this node's view of keys. Only
 * durations on this node's clock are added up: the age that a peer reports counts from the time at which this node
 * sent the heartbeat that the peer echoes.
 */
export class KeyFreshnessTracker {
  readonly #clock: Clock;
  #confirmedAt = -Infinity;

  readonly #tableAgeMilliseconds: () => number;

  /**
   * @param clock - This node's clock.
   * @param tableAgeMilliseconds - Returns the time since another component of the node last read the withdrawals, in
   * milliseconds.
   */
  constructor(
    clock: Clock,
    tableAgeMilliseconds: () => number = () => Infinity,
  ) {
    this.#clock = clock;
    this.#tableAgeMilliseconds = tableAgeMilliseconds;
  }

  /**
   * Records a successful read of the withdrawals in the table, all of which are applied.
   * @param sentAt - Monotonic time at which the read was sent, in milliseconds.
   */
  recordTableRead(sentAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
  }

  /**
   * Records the age of a peer's view of keys.
   * @param sentAt - Monotonic time at which this node sent the heartbeat that the peer echoes, in milliseconds.
   * @param peerAgeMilliseconds - Age of the peer's view, in milliseconds.
   */
  recordPeerAge(sentAt: number, peerAgeMilliseconds: number): void {
    this.#confirmedAt = Math.max(
      this.#confirmedAt,
      sentAt - peerAgeMilliseconds,
    );
  }

  /** Returns the age of this node's view of keys, in milliseconds; infinite before the first confirmation. */
  ageMilliseconds(): number {
    const confirmedAgeMilliseconds = this.#clock.monotonic() -
      this.#confirmedAt;
    return Math.min(confirmedAgeMilliseconds, this.#tableAgeMilliseconds());
  }
}
