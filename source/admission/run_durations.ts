const WEIGHT_OF_THE_NEWEST_RUN = 0.1;
const FASTEST_HALF_LIFE_MILLISECONDS = 10_000;

interface ClassDurations {
  readonly mean: number;
  readonly fastest: number;
  readonly fastestAt: number;
}

/** How long requests of one service ran of late. */
export class RunDurations {
  readonly #classes = new Map<string, ClassDurations>();
  #mean = 0;

  /** Returns the mean over all classes of work, newer runs weighing more, in milliseconds; 0 before the first. */
  get mean(): number {
    return this.#mean;
  }

  /**
   * Returns the shortest run of a class. Older ones shrink, so that they can't refuse everything for ever.
   * @param classOfWork - The class.
   * @param now - Monotonic time in milliseconds.
   */
  fastest(classOfWork: string, now: number): number {
    const known = this.#classes.get(classOfWork);
    if (known === undefined) return 0;
    const age = now - known.fastestAt;
    return known.fastest * 2 ** (-age / FASTEST_HALF_LIFE_MILLISECONDS);
  }

  /** Returns the mean duration of a class, newer runs weighing more, in milliseconds; 0 before the first. */
  meanOf(classOfWork: string): number {
    return this.#classes.get(classOfWork)?.mean ?? 0;
  }

  /** Notes the duration of a run that has ended, in milliseconds. */
  note(classOfWork: string, milliseconds: number, now: number): void {
    const isFirst = !this.#classes.has(classOfWork);
    const known = isFirst ? milliseconds : this.fastest(classOfWork, now);
    this.#classes.set(classOfWork, {
      mean: moveMean(this.meanOf(classOfWork), milliseconds),
      fastest: Math.min(known, milliseconds),
      fastestAt: now,
    });
    this.#mean = moveMean(this.#mean, milliseconds);
  }
}

function moveMean(mean: number, milliseconds: number): number {
  if (mean === 0) return milliseconds;
  return mean + (milliseconds - mean) * WEIGHT_OF_THE_NEWEST_RUN;
}
