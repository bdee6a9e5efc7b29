/** Source of time, so that tests can move it by hand. */
export interface Clock {
  /** Returns milliseconds from an arbitrary start, never going back. */
  monotonic(): number;
  /** Returns milliseconds since the Unix epoch by the wall clock. */
  wall(): number;
  /**
   * Waits for a duration.
   * @param milliseconds - The duration.
   * @param signal - Ends the wait early when aborted.
   */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}
