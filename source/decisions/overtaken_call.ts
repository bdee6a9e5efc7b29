/**
 * Time after a call went unanswered in which the platform counts as returning from an outage, in
 * milliseconds.
 */
const RETURN_MILLISECONDS = 1500;
/** Least age from which a call without an answer may count as lost, in milliseconds. */
const MINIMUM_AGE_MILLISECONDS = 200;

/** A call that waits for an answer; times are monotonic, in milliseconds. */
export interface WaitingCall {
  readonly startedAt: number;
  /** Whether a part of the answer has arrived. */
  readonly isAnswered: boolean;
  /** Whether the platform holds the call until there is something to answer. */
  readonly isHeld: boolean;
}

/** What the other calls of the node tell; times are monotonic, in milliseconds. */
export interface AnswerEvidence {
  readonly now: number;
  /** Time at which a call was last given up without an answer; -Infinity when none was. */
  readonly lastSilenceAt: number;
  /** Start of the call that was just answered. */
  readonly answeredStartedAt: number;
  /** Time of the answer before that one; -Infinity when there was none. */
  readonly previousAnswerAt: number;
}

/**
 * Whether a call should be given up and made again, since the platform lost it.
 *
 * Load pattern: the platform, or the path to it, answers nothing for seconds and then answers again.
 * Each call made in between hangs until its own time limit, and all requests of callers that wait
 * for its result are refused or late by that time. A call that started later and was answered shows
 * that the platform is back; the earlier ones are not answered any more. Without an unanswered call
 * in the last seconds, a call that takes longer than a later one is only slower. A call that the
 * platform holds is lost only if nothing was answered since it was made: while single answers are
 * lost, others arrive.
 * @param call - The waiting call.
 * @param evidence - What other calls tell.
 * @example
 * ```ts
 * isOvertaken(
 *   { startedAt: 1000, isAnswered: false, isHeld: false },
 *   { now: 2100, lastSilenceAt: 1900, answeredStartedAt: 2050, previousAnswerAt: 500 },
 * ); // true
 * ```
 */
export function isOvertaken(
  { startedAt, isAnswered, isHeld }: WaitingCall,
  { now, lastSilenceAt, answeredStartedAt, previousAnswerAt }: AnswerEvidence,
): boolean {
  return !isAnswered &&
    startedAt < answeredStartedAt &&
    (!isHeld || startedAt > previousAnswerAt) &&
    now - startedAt >= MINIMUM_AGE_MILLISECONDS &&
    now - lastSilenceAt <= RETURN_MILLISECONDS;
}
