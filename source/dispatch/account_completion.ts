import type { EngineUsage } from "../backends/engine_client.ts";
import type { LedgerEntry } from "../observability/cause_ledger.ts";

const SLOW_FACTOR = 2;

/** Times of one finished attempt, in milliseconds. */
export interface CompletionTimes {
  /** From the dispatch to the whole answer. */
  readonly whole: number;
  /** From the dispatch to the first token. */
  readonly untilFirstToken: number;
  /** For a generated token at this server, lately. */
  readonly tokenHere: number;
  /** For a generated token at all servers of the service, lately. */
  readonly tokenUsual: number;
  /** To read one prompt token without waiting. */
  readonly promptToken: number;
}

/**
 * Splits the time of a finished completion: waiting at the engine, a server that is slower than
 * its kind, and generation.
 * @param ledger - Where the time is accounted for.
 * @param usage - Tokens of the completion.
 * @param times - Its times.
 * @example
 * ```ts
 * accountCompletion(work.ledger, outcome.usage, times);
 * ```
 */
export function accountCompletion(
  ledger: LedgerEntry,
  usage: EngineUsage,
  times: CompletionTimes,
): void {
  const uncached = usage.promptTokens - usage.cachedTokens;
  const reading = uncached * times.promptToken;
  const untilFirst = Math.min(times.untilFirstToken, times.whole);
  const waited = Math.max(0, untilFirst - reading - times.tokenHere);
  const isSlow = times.tokenHere > SLOW_FACTOR * times.tokenUsual;
  const excess = isSlow
    ? usage.generatedTokens * (times.tokenHere - times.tokenUsual)
    : 0;
  const slow = Math.min(excess, times.whole - waited);
  // Requests pile up at a slow server because it is slow.
  ledger.add(isSlow ? "slowServer" : "queue", waited);
  ledger.add("slowServer", slow);
  ledger.add("generation", times.whole - waited - slow);
}
