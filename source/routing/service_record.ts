import { DecayedMean } from "./decayed_mean.ts";

const HALF_LIFE_MILLISECONDS = 60_000;
const KEPT_SAMPLES = 64;
const UNQUEUED_SHARE = 0.2;
const FEWEST_PROMPT_TOKENS = 64;

/** What this node knows of a service from its own requests. */
export class ServiceRecord {
  readonly #tokens = new DecayedMean(HALF_LIFE_MILLISECONDS);
  readonly #lengthShare = new DecayedMean(HALF_LIFE_MILLISECONDS);
  readonly #tokenTime = new DecayedMean(HALF_LIFE_MILLISECONDS);
  readonly #callTime = new DecayedMean(HALF_LIFE_MILLISECONDS);
  readonly #promptTimes: number[] = [];
  #mostRunning = 1;
  #hasCompletions = false;

  /** Whether a completion was ever finished. */
  get hasCompletions(): boolean {
    return this.#hasCompletions;
  }

  /** Most requests that were seen running at once on any server. */
  get mostRunning(): number {
    return this.#mostRunning;
  }

  /** Notes how many requests run on a server. */
  noteRunning(running: number): void {
    this.#mostRunning = Math.max(this.#mostRunning, running);
  }

  /** Notes a finished completion. */
  noteCompletion(
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

  /** Notes the time that tokens took on any server. */
  noteTokens(
    milliseconds: number,
    { tokens, now }: { readonly tokens: number; readonly now: number },
  ): void {
    this.#tokenTime.add(milliseconds, { weight: tokens, now });
  }

  /** Notes the time of a whole call on any server. */
  noteCall(milliseconds: number, now: number): void {
    this.#callTime.add(milliseconds, { weight: 1, now });
  }

  /** Notes the time until the first token, and how much of the prompt was not cached. */
  noteFirstToken(milliseconds: number, uncachedTokens: number): void {
    if (uncachedTokens < FEWEST_PROMPT_TOKENS) return;
    this.#promptTimes.push(milliseconds / uncachedTokens);
    if (this.#promptTimes.length > KEPT_SAMPLES) this.#promptTimes.shift();
  }

  /** Mean number of tokens that a completion generates. */
  meanTokens(now: number): number | undefined {
    return this.#tokens.value(now);
  }

  /** Number of tokens that a completion of a given bound is expected to generate. */
  expectedTokens(maximumTokens: number, now: number): number {
    return maximumTokens * (this.#lengthShare.value(now) ?? 1);
  }

  /** Time for a generated token, in milliseconds. */
  tokenMilliseconds(now: number): number | undefined {
    return this.#tokenTime.value(now);
  }

  /** Time of a whole call, in milliseconds. */
  callMilliseconds(now: number): number | undefined {
    return this.#callTime.value(now);
  }

  /** Time to read one uncached token of a prompt without waiting, in milliseconds. */
  promptTokenMilliseconds(): number {
    if (this.#promptTimes.length === 0) return 0;
    const sorted = this.#promptTimes.toSorted((left, right) => left - right);
    return sorted[Math.floor(sorted.length * UNQUEUED_SHARE)]!;
  }
}
