/** Source of time, which tests replace with a clock that they advance. */
export interface Clock {
  /** Returns the milliseconds since an arbitrary start; never decreases. */
  monotonic(): number;
  /** Returns the milliseconds since the Unix epoch by the wall clock. */
  wall(): number;
  /**
   * Waits for a duration.
   * @param milliseconds - Duration of the wait, in milliseconds.
   * @param signal - Ends the wait early when aborted.
   */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}
