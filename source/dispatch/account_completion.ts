import type { EngineUsage } from "../backends/engine_client.ts";
import type { LedgerEntry } from "../observability/cause_ledger.ts";

const SLOW_FACTOR = 2;

/** Times of one finished attempt, and recent means to compare them with. */
export interface CompletionTimes {
  /** Time from the dispatch to the end of the response. */
  readonly totalMilliseconds: number;
  /** Time from the dispatch to the first token. */
  readonly firstTokenMilliseconds: number;
  /** Recent mean time per generated token at this server. */
  readonly serverTokenMilliseconds: number;
  /** Recent mean time per generated token at all servers of the service. */
  readonly serviceTokenMilliseconds: number;
  /** Time to process one uncached prompt token, without queueing. */
  readonly promptTokenMilliseconds: number;
}

/**
 * Attributes the time of a finished attempt to causes: the engine's queue, a slow engine, and
 * generation. An engine is slow when its recent mean time per token is more than `SLOW_FACTOR`
 * times the mean of its service.
 * @param ledger - Ledger entry that receives the times.
 * @param usage - Token counts of the completion.
 * @param times - Times of the attempt, and recent means.
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
  const promptMilliseconds = uncached * times.promptTokenMilliseconds;
  const untilFirstToken = Math.min(
    times.firstTokenMilliseconds,
    times.totalMilliseconds,
  );
  const waited = Math.max(
    0,
    untilFirstToken - promptMilliseconds - times.serverTokenMilliseconds,
  );
  const isSlow = times.serverTokenMilliseconds >
    SLOW_FACTOR * times.serviceTokenMilliseconds;
  const excess = isSlow
    ? usage.generatedTokens *
      (times.serverTokenMilliseconds - times.serviceTokenMilliseconds)
    : 0;
  const slow = Math.min(excess, times.totalMilliseconds - waited);
  // A slow server causes its own queue, so the wait is also attributed to the slow server.
  ledger.add(isSlow ? "slowServer" : "queue", waited);
  ledger.add("slowServer", slow);
  ledger.add("generation", times.totalMilliseconds - waited - slow);
}
