const NEWEST_RUN_WEIGHT = 0.1;
const FASTEST_HALF_LIFE_MILLISECONDS = 10_000;

interface ClassDurations {
  readonly mean: number;
  readonly fastest: number;
  /** Monotonic time at which `fastest` was recorded, in milliseconds. */
  readonly fastestAt: number;
}

/** Tracks how long the recent requests of one service ran. */
export class RunDurations {
  readonly #classes = new Map<string, ClassDurations>();
  #mean = 0;

  /**
   * Returns the moving mean of the durations over all classes of work, in milliseconds; 0 before
   * the first run has ended.
   */
  get mean(): number {
    return this.#mean;
  }

  /**
   * Returns the shortest duration of a class, in milliseconds; 0 before the first run has ended.
   * The value decays with age: without the decay, a value from a slow period could cause every
   * request to be refused, and no new run would correct the value.
   * @param classOfWork - Class of work.
   * @param now - Monotonic time in milliseconds.
   */
  fastest(classOfWork: string, now: number): number {
    const existing = this.#classes.get(classOfWork);
    if (existing === undefined) return 0;
    const age = now - existing.fastestAt;
    return existing.fastest * 2 ** (-age / FASTEST_HALF_LIFE_MILLISECONDS);
  }

  /** Returns the moving mean of a class, in milliseconds; 0 before the first run has ended. */
  meanOf(classOfWork: string): number {
    return this.#classes.get(classOfWork)?.mean ?? 0;
  }

  /** Records the duration of a run that has ended, in milliseconds. */
  record(classOfWork: string, milliseconds: number, now: number): void {
    const isFirst = !this.#classes.has(classOfWork);
    const previousFastest = isFirst
      ? milliseconds
      : this.fastest(classOfWork, now);
    this.#classes.set(classOfWork, {
      mean: updateMean(this.meanOf(classOfWork), milliseconds),
      fastest: Math.min(previousFastest, milliseconds),
      fastestAt: now,
    });
    this.#mean = updateMean(this.#mean, milliseconds);
  }
}

function updateMean(mean: number, milliseconds: number): number {
  if (mean === 0) return milliseconds;
  return mean + (milliseconds - mean) * NEWEST_RUN_WEIGHT;
}
