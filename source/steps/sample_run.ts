import type { EngineTokens } from "../backends/engine_client.ts";
import type { Clock } from "../utilities/clock.ts";
import type { FinishedRun } from "./tail_policy.ts";

/** Options of a new run. */
export interface SampleRunOptions {
  readonly clock: Clock;
  /** Aborts the run when its step ends. */
  readonly signal: AbortSignal;
  /** The run whose tokens this run resumes from and that it replaces with its first token. */
  readonly source?: SampleRun;
  readonly avoidServers: ReadonlyArray<string>;
}

/**
 * Tracks one run of a sample on an engine.
 * @example
 * ```ts
 * const run = new SampleRun({ clock, signal, avoidServers: [] });
 * run.cancel();
 * ```
 */
export class SampleRun {
  /** Aborted when the run is cancelled or the step ends. */
  readonly signal: AbortSignal;
  /** The run whose tokens this run resumes from and that it replaces with its first token. */
  readonly source: SampleRun | undefined;
  /** Tokens that this run resumes from, in segments of one weight version each. */
  readonly resumedSegments: ReadonlyArray<EngineTokens>;
  /** Addresses of servers that must not execute this run. */
  readonly avoidServers: ReadonlyArray<string>;
  readonly #clock: Clock;
  readonly #controller = new AbortController();
  #segments: EngineTokens[];
  #server = "";
  #ownTokens = 0;
  #isStale = false;
  #sentAt = 0;
  #firstTokenAt: number | undefined;
  #lastTokenAt = 0;

  /** @param options - Clock, signal, source and servers to avoid. */
  constructor(options: SampleRunOptions) {
    this.#clock = options.clock;
    this.source = options.source;
    this.avoidServers = options.avoidServers;
    this.resumedSegments = options.source?.segments ?? [];
    this.#segments = [...this.resumedSegments];
    this.signal = AbortSignal.any([options.signal, this.#controller.signal]);
  }

  /** Address of the server to which the run was last sent; empty before the first dispatch. */
  get server(): string {
    return this.#server;
  }

  /** Tokens of the sample so far, in order, in segments of one weight version each. */
  get segments(): ReadonlyArray<EngineTokens> {
    return [...this.#segments];
  }

  /** Number of tokens of the sample so far. */
  get tokens(): number {
    return this.#segments.reduce((sum, each) => sum + each.tokens, 0);
  }

  /** Number of tokens that this run resumes from. */
  get resumedTokenCount(): number {
    return this.resumedSegments.reduce((sum, each) => sum + each.tokens, 0);
  }

  /** Number of tokens that this run generated, without the resumed ones. */
  get ownTokens(): number {
    return this.#ownTokens;
  }

  /** The oldest weight version that generated a token so far. */
  get oldestVersion(): number {
    return this.#segments.reduce(
      (oldest, each) => Math.min(oldest, each.weightVersion),
      Number.MAX_SAFE_INTEGER,
    );
  }

  /** Whether this run itself was cancelled; false when only its step ended. */
  get wasCancelled(): boolean {
    return this.#controller.signal.aborted;
  }

  /** Whether the run was cancelled because a token came from a version older than the bound allows. */
  get isStale(): boolean {
    return this.#isStale;
  }

  /** Time since the run was first sent to a server, in milliseconds. */
  get ageMilliseconds(): number {
    return this.#clock.monotonic() - this.#sentAt;
  }

  /** Time since the last token, or since the first dispatch when there is none, in milliseconds. */
  get sinceLastTokenMilliseconds(): number {
    const now = this.#clock.monotonic();
    return now - Math.max(this.#sentAt, this.#lastTokenAt);
  }

  /** Time from the first to the last token, in milliseconds. */
  get generatingMilliseconds(): number {
    if (this.#firstTokenAt === undefined) return 0;
    return this.#lastTokenAt - this.#firstTokenAt;
  }

  /**
   * Estimates the time until the run completes, in milliseconds: at its speed so far, or at the
   * typical speed when the run has generated no token, but at least the time since the last token.
   */
  estimateRemaining(
    maximumTokens: number,
    typicalMillisecondsPerToken: number,
  ): number {
    const remainingTokens = maximumTokens - this.tokens;
    const millisecondsPerToken = this.#ownTokens > 0
      ? this.generatingMilliseconds / this.#ownTokens
      : typicalMillisecondsPerToken;
    return Math.max(
      remainingTokens * millisecondsPerToken,
      this.sinceLastTokenMilliseconds,
    );
  }

  /** Sets the server that executes the run from now on; the first call records when it was sent. */
  setServer(address: string): void {
    if (this.#server === "") this.#sentAt = this.#clock.monotonic();
    this.#server = address;
  }

  /** Appends streamed tokens. */
  addTokens(tokens: EngineTokens): void {
    const now = this.#clock.monotonic();
    this.#firstTokenAt ??= now;
    this.#lastTokenAt = now;
    this.#ownTokens += tokens.tokens;
    const last = this.#segments.at(-1);
    if (last?.weightVersion === tokens.weightVersion) {
      this.#segments[this.#segments.length - 1] = {
        text: last.text + tokens.text,
        tokens: last.tokens + tokens.tokens,
        weightVersion: last.weightVersion,
      };
    } else this.#segments.push(tokens);
  }

  /** Returns the durations and the token count of this run when it has just completed. */
  toFinishedRun(): FinishedRun {
    const firstTokenAt = this.#firstTokenAt ?? this.#clock.monotonic();
    return {
      milliseconds: this.ageMilliseconds,
      startMilliseconds: firstTokenAt - this.#sentAt,
      tokens: this.#ownTokens,
    };
  }

  /** Cancels this run because its tokens exceed the staleness bound. */
  cancelAsStale(): void {
    this.#isStale = true;
    this.cancel();
  }

  /** Cancels this run. */
  cancel(): void {
    this.#controller.abort();
  }
}
