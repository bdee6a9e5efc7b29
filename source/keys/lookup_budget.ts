import type { Clock } from "../utilities/clock.ts";

/** Bounds how often something may be done, so that unknown keys can't flood the table. */
export class LookupBudget {
  readonly #clock: Clock;
  readonly #perSecond: number;
  #available: number;
  #filledAt: number;

  /**
   * @param clock - Source of time.
   * @param perSecond - The rate, and also the most that may be done at once.
   */
  constructor(clock: Clock, perSecond: number) {
    this.#clock = clock;
    this.#perSecond = perSecond;
    this.#available = perSecond;
    this.#filledAt = clock.monotonic();
  }

  /** Takes one from the budget; false when it is used up. */
  take(): boolean {
    this.#fill();
    if (this.#available < 1) return false;
    this.#available -= 1;
    return true;
  }

  #fill(): void {
    const now = this.#clock.monotonic();
    const gained = (now - this.#filledAt) / 1000 * this.#perSecond;
    this.#available = Math.min(this.#perSecond, this.#available + gained);
    this.#filledAt = now;
  }
}
