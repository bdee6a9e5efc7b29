import {
  CONNECTION_MILLISECONDS,
  PROMPT_TOKENS_PER_MILLISECOND,
} from "./engine_choice.ts";

/** Maximum number of moves of a text; each one repeats the reading of its tokens. */
const MAXIMUM_MOVES = 2;
/** Time from the end of a run until the next one has its first event, beside the reading. */
const RESTART_EVENTS = 2;
/** Least time that a move must save. */
const MINIMUM_GAIN_MILLISECONDS = 150;
/**
 * Share of the remaining time that a move must save. Engines differ by a factor of up to 2.4 for
 * good, which is a share of 0.583 at most, so that texts do not leave an engine for being a slow one.
 */
const GAIN_SHARE = 0.6;
/** The same share for an engine that became much slower than it usually is. */
const SLOWED_GAIN_SHARE = 0.25;
/** Multiple of its usual time per event from which on an engine has become slow. */
const SLOWED_FACTOR = 2.5;
/** Time between two moves of one node, in which the first one has taken its new slot. */
const MOVE_INTERVAL_MILLISECONDS = 50;

/** A text that runs on an engine. */
export interface MovingText {
  /** Expected number of events that are left. */
  readonly remainingEvents: number;
  /** Number of tokens that another engine reads before it continues the text. */
  readonly tokens: number;
  /** Number of moves so far. */
  readonly moves: number;
  /** Recent and usual time per event of its engine; undefined without a measurement. */
  readonly recentMilliseconds: number | undefined;
  readonly usualMilliseconds: number | undefined;
  /** Time since this node last moved a text, in milliseconds. */
  readonly sinceLastMove: number;
}

/** Another engine that could continue the text now. */
export interface MoveCandidate {
  /** Expected time per event; undefined if it was never measured. */
  readonly eventMilliseconds: number | undefined;
  readonly isConnected: boolean;
}

/**
 * Decides whether a text leaves its engine to be continued at a faster one.
 *
 * Load pattern: engines differ for good in their speed, and some become 4 to 8 times slower for a
 * while. Each move ends a run and has the next engine read the whole text again, so texts move only
 * from an engine of which much time is left, and one after the other, as a free slot is enough for
 * one text.
 * @param text - The text.
 * @param candidates - Engines that could continue it now.
 * @example
 * ```ts
 * if (shouldMove(text, candidates)) return "retry";
 * ```
 */
export function shouldMove(
  text: MovingText,
  candidates: ReadonlyArray<MoveCandidate>,
): boolean {
  const { recentMilliseconds, usualMilliseconds, remainingEvents } = text;
  if (recentMilliseconds === undefined) return false;
  if (text.moves >= MAXIMUM_MOVES) return false;
  if (text.sinceLastMove < MOVE_INTERVAL_MILLISECONDS) return false;
  const hasSlowed = usualMilliseconds !== undefined &&
    recentMilliseconds > SLOWED_FACTOR * usualMilliseconds;
  const share = hasSlowed ? SLOWED_GAIN_SHARE : GAIN_SHARE;
  const stay = remainingEvents * recentMilliseconds;
  const latest = stay * (1 - share) - MINIMUM_GAIN_MILLISECONDS;
  return candidates.some((candidate) => estimateEnd(text, candidate) < latest);
}

function estimateEnd(text: MovingText, candidate: MoveCandidate): number {
  const { eventMilliseconds, isConnected } = candidate;
  if (eventMilliseconds === undefined) return Infinity;
  return (text.remainingEvents + RESTART_EVENTS) * eventMilliseconds +
    text.tokens / PROMPT_TOKENS_PER_MILLISECOND +
    (isConnected ? 0 : CONNECTION_MILLISECONDS);
}
