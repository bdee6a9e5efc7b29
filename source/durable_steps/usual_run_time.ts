/** Time of a run that is assumed before the first one. */
const INITIAL_RUN_MILLISECONDS = 1000;
/** Weight of a new run in the moving average of the expected time of runs. */
const RUN_WEIGHT = 0.05;

/** The expected time of a run, as a moving average over the runs that have started. */
export class UsualRunTime {
  #milliseconds = INITIAL_RUN_MILLISECONDS;

  /** The time in milliseconds. */
  get milliseconds(): number {
    return this.#milliseconds;
  }

  /** Records the expected time of a run that starts, in milliseconds. */
  record(milliseconds: number): void {
    this.#milliseconds += RUN_WEIGHT * (milliseconds - this.#milliseconds);
  }
}
