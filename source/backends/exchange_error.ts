import type { FailureCause } from "./failure_cause.ts";

/** Error with which this process aborts an exchange; clients convert it to an outcome. */
export class ExchangeError extends Error {
  override readonly name = "ExchangeError";
  /** Why the exchange has no complete answer. */
  readonly failureCause: FailureCause;

  /**
   * @param failure - Why the exchange has no complete answer.
   * @param message - Description of the cause.
   */
  constructor(failure: FailureCause, message: string) {
    super(message);
    this.failureCause = failure;
  }
}
