import { LRUCache } from "lru-cache";

const MAXIMUM_CLASSES = 1_000;

/** How many retries a budget allows. */
export interface RetryBudgetOptions {
  /** Retries for each first try. */
  readonly share: number;
  /** Retries that may be saved up. */
  readonly maximumSaved: number;
}

/** Default bounds on retries. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  share: 0.1,
  maximumSaved: 10,
};

/**
 * Allows retries as a share of first tries, for each class of work by itself.
 * @example
 * ```ts
 * const budget = new RetryBudget();
 * budget.noteFirstTry("lookups");
 * const allowed = budget.takeRetry("lookups");
 * ```
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #saved = new LRUCache<string, number>({ max: MAXIMUM_CLASSES });

  /** @param options - The bounds. */
  constructor(options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET) {
    this.#options = options;
  }

  /** Saves up a share of a retry. */
  noteFirstTry(classOfWork: string): void {
    const { share, maximumSaved } = this.#options;
    const saved = this.#savedFor(classOfWork) + share;
    this.#saved.set(classOfWork, Math.min(maximumSaved, saved));
  }

  /**
   * Takes one retry out of the budget.
   * @returns Whether it was allowed.
   */
  takeRetry(classOfWork: string): boolean {
    const saved = this.#savedFor(classOfWork);
    if (saved < 1) return false;
    this.#saved.set(classOfWork, saved - 1);
    return true;
  }

  #savedFor(classOfWork: string): number {
    return this.#saved.get(classOfWork) ?? this.#options.maximumSaved;
  }
}
