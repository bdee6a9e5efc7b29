import type { EngineTokens } from "../backends/engine_client.ts";
import type { PlannedSample } from "./step_plan.ts";

/**
 * One run of a sample on some engine.
 * @example
 * ```ts
 * const run = new SampleRun(planned, signal);
 * run.cancel();
 * ```
 */
export class SampleRun {
  /** The sample that runs. */
  readonly planned: PlannedSample;
  /** Aborted when the run is cancelled or the step ends. */
  readonly signal: AbortSignal;
  readonly #controller = new AbortController();
  #server = "";
  #tokens = 0;
  #isStale = false;
  #oldestVersion = Number.MAX_SAFE_INTEGER;

  /**
   * @param planned - The sample to run.
   * @param signal - Ends the run with its step.
   */
  constructor(planned: PlannedSample, signal: AbortSignal) {
    this.planned = planned;
    this.signal = AbortSignal.any([signal, this.#controller.signal]);
  }

  /** Address of the server that the run was sent to last; empty when not sent yet. */
  get server(): string {
    return this.#server;
  }

  /** Tokens generated so far. */
  get tokens(): number {
    return this.#tokens;
  }

  /** The oldest weight version that made a token so far. */
  get oldestVersion(): number {
    return this.#oldestVersion;
  }

  /** Whether this run alone was cancelled. */
  get wasCancelled(): boolean {
    return this.#controller.signal.aborted;
  }

  /** Whether the run was cancelled because an older version than allowed made a token. */
  get isStale(): boolean {
    return this.#isStale;
  }

  /** Notes the server that runs the sample now. */
  noteServer(address: string): void {
    this.#server = address;
  }

  /** Counts streamed tokens. */
  noteTokens(tokens: EngineTokens): void {
    this.#tokens += tokens.tokens;
    this.#oldestVersion = Math.min(this.#oldestVersion, tokens.weightVersion);
  }

  /** Cancels this run because its tokens are too old. */
  cancelAsStale(): void {
    this.#isStale = true;
    this.cancel();
  }

  /** Cancels this run. */
  cancel(): void {
    this.#controller.abort();
  }
}
