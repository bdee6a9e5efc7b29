import type { FailureCause } from "./failure_cause.ts";

/** Ends an exchange from this side; never leaves the clients. */
export class ExchangeError extends Error {
  override readonly name = "ExchangeError";
  /** What kept the exchange from its whole answer. */
  readonly failure: FailureCause;

  /**
   * @param failure - What kept the exchange from its whole answer.
   * @param message - The same in words.
   */
  constructor(failure: FailureCause, message: string) {
    super(message);
    this.failure = failure;
  }
}
