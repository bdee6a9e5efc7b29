/**
 * Least time without data after which a request to an engine is aborted. A weight load interrupts the
 * requests of an engine for about 1 s.
 */
const MINIMUM_LIMIT_MILLISECONDS = 2500;
/** Longest such time; the samples' lifetime ends what is silent for longer. */
const MAXIMUM_LIMIT_MILLISECONDS = 20_000;
/** Number of usual times between two events for which an engine may be silent. */
const USUAL_EVENTS = 7;

/**
 * Returns the time without data after which a request for a text is aborted.
 *
 * Load pattern: engines answer many times a second, and one that crashed or lost its network is silent
 * at once and for good. Under a heavy load, or for a very large model, all engines send an event only
 * every few seconds; a fixed limit would abort each attempt before its first event, and the text would
 * never go on. So the limit doubles with each attempt that was silent for it.
 * @param silences - Number of attempts for this text that were aborted for their silence.
 * @param usualEventMilliseconds - Usual time between two events of a run.
 * @example
 * ```ts
 * const silenceMilliseconds = toIdleLimit(0, 40);
 * ```
 */
export function toIdleLimit(
  silences: number,
  usualEventMilliseconds: number,
): number {
  const usual = Math.max(
    MINIMUM_LIMIT_MILLISECONDS,
    USUAL_EVENTS * usualEventMilliseconds,
  );
  return Math.min(MAXIMUM_LIMIT_MILLISECONDS, usual * 2 ** silences);
}
