import type { Clock } from "../utilities/clock.ts";
import { ENDED } from "../utilities/ended.ts";
import type { AttemptResult } from "./attempt_result.ts";

/** Runs one attempt until its result; the signal cancels it. */
export type AttemptRun = (signal: AbortSignal) => Promise<AttemptResult>;

/** The attempts of one call that run, and the results of those that have ended. */
export class AttemptSet {
  readonly #clock: Clock;
  readonly #callerSignal: AbortSignal;
  readonly #controllers = new Set<AbortController>();
  readonly #running = new Set<Promise<void>>();
  /** Results that were not taken yet. */
  #results: AttemptResult[] = [];
  #lastResult: AttemptResult | undefined;
  /** Number of attempts that did not end as not run. */
  #possiblyExecuted = 0;

  /**
   * @param clock - Clock that limits waits.
   * @param callerSignal - Aborted when the caller disconnects, which cancels the attempts.
   */
  constructor(clock: Clock, callerSignal: AbortSignal) {
    this.#clock = clock;
    this.#callerSignal = callerSignal;
  }

  /** Number of attempts that run. */
  get running(): number {
    return this.#running.size;
  }

  /** Number of attempts whose request a server has run or may have run. */
  get possiblyExecuted(): number {
    return this.#possiblyExecuted;
  }

  /** Whether an attempt has ended whose result was not taken. */
  get hasResult(): boolean {
    return this.#results.length > 0;
  }

  /** Whether the last attempt that ended got no connection. */
  get hasFailedToConnect(): boolean {
    return this.#lastResult?.kind === "notRun" && !this.#lastResult.isRefused;
  }

  /** Starts an attempt. */
  start(run: AttemptRun): void {
    this.#possiblyExecuted += 1;
    const attempt = this.#run(run).then((result) => {
      this.#running.delete(attempt);
      if (result.kind === "notRun") this.#possiblyExecuted -= 1;
      this.add(result);
    });
    this.#running.add(attempt);
  }

  /** Adds the result of an attempt that was not started. */
  add(result: AttemptResult): void {
    this.#lastResult = result;
    this.#results.push(result);
  }

  /** Returns the results since the last call. */
  takeResults(): ReadonlyArray<AttemptResult> {
    const results = this.#results;
    this.#results = [];
    return results;
  }

  /** Cancels all attempts, also a streamed answer that is being read. */
  cancel(): void {
    for (const controller of this.#controllers) controller.abort(ENDED);
  }

  /**
   * Leaves the attempts to a receiver that outlives the call, as a streamed answer does.
   * @returns A function that cancels them.
   */
  detach(): () => void {
    const controllers = [...this.#controllers];
    this.#controllers.clear();
    return () => controllers.forEach((controller) => controller.abort(ENDED));
  }

  /** Waits until an attempt ends, the time has passed or the caller disconnects. */
  async wait(milliseconds: number): Promise<void> {
    const wake = new AbortController();
    const wakeUp = (): void => wake.abort(ENDED);
    this.#callerSignal.addEventListener("abort", wakeUp, { once: true });
    await Promise.race([
      ...this.#running,
      this.#clock.sleep(Math.max(1, milliseconds), wake.signal),
    ]);
    this.#callerSignal.removeEventListener("abort", wakeUp);
    wake.abort(ENDED);
  }

  async #run(run: AttemptRun): Promise<AttemptResult> {
    const controller = new AbortController();
    const cancel = (): void => controller.abort(ENDED);
    this.#controllers.add(controller);
    this.#callerSignal.addEventListener("abort", cancel, { once: true });
    const result = await run(controller.signal);
    if (result.kind !== "streaming") {
      this.#controllers.delete(controller);
      this.#callerSignal.removeEventListener("abort", cancel);
    }
    return result;
  }
}
