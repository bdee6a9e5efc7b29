import { DecayedMean } from "./decayed_mean.ts";

const HALF_LIFE_MILLISECONDS = 60_000;
const MAXIMUM_MEASUREMENTS = 64;
const UNQUEUED_QUANTILE = 0.2;
const MINIMUM_PROMPT_TOKENS = 64;

/** Statistics of one service from this node's own requests. */
export class ServiceStatistics {
  readonly #tokens = new DecayedMean(HALF_LIFE_MILLISECONDS);
  readonly #lengthShare = new DecayedMean(HALF_LIFE_MILLISECONDS);
  readonly #tokenMilliseconds = new DecayedMean(HALF_LIFE_MILLISECONDS);
  readonly #callMilliseconds = new DecayedMean(HALF_LIFE_MILLISECONDS);
  readonly #promptTokenMilliseconds: number[] = [];
  #mostRunning = 1;
  #hasCompletions = false;

  /** Whether any completion has finished. */
  get hasCompletions(): boolean {
    return this.#hasCompletions;
  }

  /** Highest reported number of requests running at once on any server. */
  get mostRunning(): number {
    return this.#mostRunning;
  }

  /** Updates `mostRunning` from the number of requests that run on a server. */
  recordRunning(running: number): void {
    this.#mostRunning = Math.max(this.#mostRunning, running);
  }

  /** Records a finished completion and its number of generated tokens. */
  recordCompletion(
    tokens: number,
    { maximumTokens, now }: {
      readonly maximumTokens: number;
      readonly now: number;
    },
  ): void {
    this.#hasCompletions = true;
    this.#tokens.add(tokens, { weight: 1, now });
    this.#lengthShare.add(tokens, { weight: maximumTokens, now });
  }

  /** Records the time in which tokens were generated on any server, in milliseconds. */
  recordTokenTime(
    milliseconds: number,
    { tokens, now }: { readonly tokens: number; readonly now: number },
  ): void {
    this.#tokenMilliseconds.add(milliseconds, { weight: tokens, now });
  }

  /** Records the duration of a plain call on any server, in milliseconds. */
  recordCallTime(milliseconds: number, now: number): void {
    this.#callMilliseconds.add(milliseconds, { weight: 1, now });
  }

  /**
   * Records the time until the first token, in milliseconds, for a number of uncached prompt
   * tokens; ignores prompts with fewer than 64 of them.
   */
  recordFirstTokenTime(milliseconds: number, uncachedTokens: number): void {
    if (uncachedTokens < MINIMUM_PROMPT_TOKENS) return;
    this.#promptTokenMilliseconds.push(milliseconds / uncachedTokens);
    if (this.#promptTokenMilliseconds.length > MAXIMUM_MEASUREMENTS) {
      this.#promptTokenMilliseconds.shift();
    }
  }

  /** Returns the mean number of tokens that a completion generates; undefined before the first. */
  meanTokens(now: number): number | undefined {
    return this.#tokens.value(now);
  }

  /** Returns the expected number of tokens that a completion with a maximum number generates. */
  expectedTokens(maximumTokens: number, now: number): number {
    return maximumTokens * (this.#lengthShare.value(now) ?? 1);
  }

  /** Returns the mean time per generated token, in milliseconds; undefined before the first. */
  tokenMilliseconds(now: number): number | undefined {
    return this.#tokenMilliseconds.value(now);
  }

  /** Returns the mean duration of a plain call, in milliseconds; undefined before the first. */
  callMilliseconds(now: number): number | undefined {
    return this.#callMilliseconds.value(now);
  }

  /**
   * Returns the time to process one uncached prompt token, in milliseconds; 0 before the first
   * measurement. The 20% quantile of the measurements leaves out the time that requests wait in the
   * engine's queue.
   */
  promptTokenMilliseconds(): number {
    if (this.#promptTokenMilliseconds.length === 0) return 0;
    const sorted = this.#promptTokenMilliseconds.toSorted((left, right) =>
      left - right
    );
    return sorted[Math.floor(sorted.length * UNQUEUED_QUANTILE)]!;
  }
}
