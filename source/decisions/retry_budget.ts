import { LRUCache } from "lru-cache";

/** Maximum number of classes whose budgets are kept; the least recently used is dropped first. */
const MAXIMUM_CLASSES = 1_000;

/** Bounds of a retry budget. */
export interface RetryBudgetOptions {
  /** Number of retries that each first attempt adds to the budget. */
  readonly share: number;
  /** Maximum number of retries that the budget accumulates; also its initial balance. */
  readonly maximumSaved: number;
}

/** Default bounds on retries. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  share: 0.1,
  maximumSaved: 10,
};

/**
 * Limits retries and hedges to a share of first attempts, separately for each class of work.
 *
 * Load pattern: some servers fail or all are slow. Retries that are a small share of the load rescue
 * the requests at a few failing servers; without a limit they multiply the load of servers that are
 * slow already and keep them down after the cause has gone.
 * @example
 * ```ts
 * const budget = new RetryBudget();
 * budget.recordFirstAttempt("lookups");
 * const allowed = budget.takeRetry("lookups");
 * ```
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #saved = new LRUCache<string, number>({ max: MAXIMUM_CLASSES });

  /** @param options - Bounds of the budget. */
  constructor(options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET) {
    this.#options = options;
  }

  /** Adds the share of a retry that a first attempt earns to the budget of its class. */
  recordFirstAttempt(classOfWork: string): void {
    const { share, maximumSaved } = this.#options;
    const saved = this.#savedFor(classOfWork) + share;
    this.#saved.set(classOfWork, Math.min(maximumSaved, saved));
  }

  /**
   * Takes one retry from the budget of a class.
   * @returns Whether the budget allows the retry.
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
