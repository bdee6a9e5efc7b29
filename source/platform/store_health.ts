import type { Clock } from "../utilities/clock.ts";

/**
 * Time without an answer after which the store counts as unreachable; a reachable store answers the
 * loops that follow its tables at least once a second.
 */
const UNREACHABLE_AFTER_MILLISECONDS = 1500;
/** Duration from which a failed call counts as hung; a refused call fails within milliseconds. */
const HANGING_CALL_MILLISECONDS = 500;

/** Reachability of the store as seen by a node's own calls. */
export class StoreHealth {
  readonly #clock: Clock;
  #lastAnswerAt: number;
  #lastFailureMilliseconds = 0;

  /** @param clock - Clock of the node; the store counts as reachable at first. */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastAnswerAt = clock.monotonic();
  }

  /** Whether no call of this node was answered for 1.5 s. */
  get isUnreachable(): boolean {
    return this.#clock.monotonic() - this.#lastAnswerAt >
      UNREACHABLE_AFTER_MILLISECONDS;
  }

  /**
   * Whether the store is unreachable and the last failed call hung, so that requests should not
   * wait for the store.
   */
  get isHanging(): boolean {
    return this.isUnreachable &&
      this.#lastFailureMilliseconds >= HANGING_CALL_MILLISECONDS;
  }

  /** Records that a call was answered. */
  recordAnswer(): void {
    this.#lastAnswerAt = this.#clock.monotonic();
  }

  /**
   * Records that a call failed.
   * @param milliseconds - Duration of the call in milliseconds, without its long-polling time.
   */
  recordFailure(milliseconds: number): void {
    this.#lastFailureMilliseconds = milliseconds;
  }
}
