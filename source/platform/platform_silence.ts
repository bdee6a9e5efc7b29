import { isOvertaken, type WaitingCall } from "../decisions/overtaken_call.ts";
import type { Clock } from "../utilities/clock.ts";

/** A call that waits for an answer. */
export interface PendingCall extends WaitingCall {
  /** Ends the call as lost. */
  readonly giveUp: () => void;
}

/**
 * Ends the calls of all connections to the platform that were lost in an outage as soon as a later
 * call is answered.
 */
export class PlatformSilence {
  readonly #clock: Clock;
  readonly #pending = new Set<PendingCall>();
  #lastSilenceAt = -Infinity;
  #lastAnswerAt = -Infinity;

  /** @param clock - Measures the age of calls. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a call that waits for an answer.
   * @returns A function that removes it.
   */
  add(call: PendingCall): () => void {
    this.#pending.add(call);
    return () => this.#pending.delete(call);
  }

  /** Records that a call was given up at its time limit. */
  recordSilence(): void {
    this.#lastSilenceAt = this.#clock.monotonic();
  }

  /** Records that a call was answered, and gives up those that it has overtaken. */
  recordAnswer({ startedAt }: Pick<PendingCall, "startedAt">): void {
    const evidence = {
      now: this.#clock.monotonic(),
      lastSilenceAt: this.#lastSilenceAt,
      answeredStartedAt: startedAt,
      previousAnswerAt: this.#lastAnswerAt,
    };
    this.#lastAnswerAt = evidence.now;
    for (const call of [...this.#pending]) {
      if (isOvertaken(call, evidence)) call.giveUp();
    }
  }
}
