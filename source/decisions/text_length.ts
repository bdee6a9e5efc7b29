/** Number of events that is assumed for each token of an estimate before any text has ended. */
const INITIAL_EVENTS_PER_TOKEN = 1 / 50;
/** Number of events that is assumed for a text without an estimate before any text has ended. */
const INITIAL_EVENTS = 30;
/** Weight of a finished text in the moving averages. */
const SMOOTHING = 0.02;

/** A sample whose text has ended. */
export interface FinishedLength {
  /** Expected number of output tokens; undefined when the trainer gave no estimate. */
  readonly expectedTokens: number | undefined;
  readonly events: number;
}

/** The limits of a text that is about to be generated. */
export interface ExpectedLength {
  /** Expected number of output tokens; undefined when the trainer gave no estimate. */
  readonly expectedTokens: number | undefined;
  /** Maximum number of output tokens; undefined when the trainer set none. */
  readonly maximumTokens: number | undefined;
  /** Number of events that the text already has. */
  readonly madeEvents: number;
}

/**
 * Estimates the number of events of a text from the trainer's estimate of its tokens.
 *
 * Load pattern: engines put several tokens into an event, how many is not published, and trainers'
 * estimates are right at the median but often far off; an estimate beyond the text's limit counts as
 * the limit.
 * @example
 * ```ts
 * const estimate = new TextLengthEstimate();
 * estimate.record({ expectedTokens: 500, events: 10 });
 * estimate.expectEvents({ expectedTokens: 1000, maximumTokens: 2000, madeEvents: 0 });
 * ```
 */
export class TextLengthEstimate {
  #eventsPerToken = INITIAL_EVENTS_PER_TOKEN;
  #events = INITIAL_EVENTS;

  /** Number of events of a usual text. */
  get usualEvents(): number {
    return this.#events;
  }

  /** Records the length of a finished text. */
  record({ expectedTokens, events }: FinishedLength): void {
    this.#events += SMOOTHING * (events - this.#events);
    if (expectedTokens === undefined || expectedTokens <= 0) return;
    // The ratio is averaged on a logarithmic scale, on which the estimates are not biased.
    const difference = Math.log(Math.max(1, events) / expectedTokens) -
      Math.log(this.#eventsPerToken);
    this.#eventsPerToken *= Math.exp(SMOOTHING * difference);
  }

  /** Returns the expected number of output tokens of a text, also of events that it already has. */
  expectTokens(length: ExpectedLength): number {
    const { expectedTokens, maximumTokens = Infinity } = length;
    return Math.min(
      expectedTokens ?? this.#events / this.#eventsPerToken,
      maximumTokens,
    );
  }

  /** Returns the expected number of events that a text still needs; at least one. */
  expectEvents(length: ExpectedLength): number {
    const { expectedTokens, maximumTokens = Infinity, madeEvents } = length;
    const total = expectedTokens === undefined
      ? this.#events
      : Math.min(expectedTokens, maximumTokens) * this.#eventsPerToken;
    return Math.max(1, total - madeEvents);
  }
}
