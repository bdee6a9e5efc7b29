import type { EngineTokens } from "../backends/engine_client.ts";
import type { Clock } from "../utilities/clock.ts";
import type { FinishedRun } from "./tail_policy.ts";

/** How a run begins. */
export interface SampleRunOptions {
  readonly clock: Clock;
  /** Ends the run with its step. */
  readonly signal: AbortSignal;
  /** The run that this one goes on from and replaces with its first token. */
  readonly source?: SampleRun;
  readonly avoidServers: ReadonlyArray<string>;
}

/**
 * One run of a sample on some engine.
 * @example
 * ```ts
 * const run = new SampleRun({ clock, signal, avoidServers: [] });
 * run.cancel();
 * ```
 */
export class SampleRun {
  /** Aborted when the run is cancelled or the step ends. */
  readonly signal: AbortSignal;
  /** The run that this one goes on from and replaces with its first token. */
  readonly source: SampleRun | undefined;
  /** The tokens that this one goes on from. */
  readonly resumedTokens: ReadonlyArray<EngineTokens>;
  /** Servers that must not run it. */
  readonly avoidServers: ReadonlyArray<string>;
  readonly #clock: Clock;
  readonly #controller = new AbortController();
  #given: EngineTokens[];
  #server = "";
  #ownTokens = 0;
  #isStale = false;
  #sentAt = 0;
  #firstTokenAt: number | undefined;
  #lastTokenAt = 0;

  /** @param options - How the run begins. */
  constructor(options: SampleRunOptions) {
    this.#clock = options.clock;
    this.source = options.source;
    this.avoidServers = options.avoidServers;
    this.resumedTokens = options.source?.given ?? [];
    this.#given = [...this.resumedTokens];
    this.signal = AbortSignal.any([options.signal, this.#controller.signal]);
  }

  /** Address of the server that the run was sent to last; empty when not sent yet. */
  get server(): string {
    return this.#server;
  }

  /** The sample's tokens so far, in their order. */
  get given(): ReadonlyArray<EngineTokens> {
    return [...this.#given];
  }

  /** Number of the sample's tokens so far. */
  get tokens(): number {
    return this.#given.reduce((sum, each) => sum + each.tokens, 0);
  }

  /** Number of tokens that this one goes on from. */
  get resumedCount(): number {
    return this.resumedTokens.reduce((sum, each) => sum + each.tokens, 0);
  }

  /** Number of tokens that this run generated itself. */
  get ownTokens(): number {
    return this.#ownTokens;
  }

  /** The oldest weight version that made a token so far. */
  get oldestVersion(): number {
    return this.#given.reduce(
      (oldest, each) => Math.min(oldest, each.weightVersion),
      Number.MAX_SAFE_INTEGER,
    );
  }

  /** Whether this run alone was cancelled. */
  get wasCancelled(): boolean {
    return this.#controller.signal.aborted;
  }

  /** Whether it was cancelled because an older version than allowed made a token. */
  get isStale(): boolean {
    return this.#isStale;
  }

  /** Time since the run was sent to a server, in milliseconds. */
  get ageMilliseconds(): number {
    return this.#clock.monotonic() - this.#sentAt;
  }

  /** Time since the last token, or since the run was sent, in milliseconds. */
  get silentMilliseconds(): number {
    const now = this.#clock.monotonic();
    return now - Math.max(this.#sentAt, this.#lastTokenAt);
  }

  /** Time from the first to the last token, in milliseconds. */
  get generatingMilliseconds(): number {
    if (this.#firstTokenAt === undefined) return 0;
    return this.#lastTokenAt - this.#firstTokenAt;
  }

  /** Returns how long the rest would take at the speed seen so far, in milliseconds. */
  estimateRest(
    maximumTokens: number,
    usualMillisecondsPerToken: number,
  ): number {
    const left = maximumTokens - this.tokens;
    const millisecondsPerToken = this.#ownTokens > 0
      ? this.generatingMilliseconds / this.#ownTokens
      : usualMillisecondsPerToken;
    return Math.max(left * millisecondsPerToken, this.silentMilliseconds);
  }

  /** Notes the server that runs the sample from now on. */
  noteServer(address: string): void {
    if (this.#server === "") this.#sentAt = this.#clock.monotonic();
    this.#server = address;
  }

  /** Keeps streamed tokens. */
  noteTokens(tokens: EngineTokens): void {
    const now = this.#clock.monotonic();
    this.#firstTokenAt ??= now;
    this.#lastTokenAt = now;
    this.#ownTokens += tokens.tokens;
    const last = this.#given.at(-1);
    if (last?.weightVersion === tokens.weightVersion) {
      this.#given[this.#given.length - 1] = {
        text: last.text + tokens.text,
        tokens: last.tokens + tokens.tokens,
        weightVersion: last.weightVersion,
      };
    } else this.#given.push(tokens);
  }

  /** Describes the run after its end. */
  describe(): FinishedRun {
    const firstTokenAt = this.#firstTokenAt ?? this.#clock.monotonic();
    return {
      milliseconds: this.ageMilliseconds,
      startMilliseconds: firstTokenAt - this.#sentAt,
      tokens: this.#ownTokens,
    };
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
