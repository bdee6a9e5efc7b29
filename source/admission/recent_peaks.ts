const PEAK_HALF_LIFE_MILLISECONDS = 5000;

interface ClassPeak {
  readonly running: number;
  readonly peak: number;
  readonly at: number;
}

/** How many requests of each class ran at once of late, as far as they were started on time. */
export class RecentPeaks {
  readonly #classes = new Map<string, ClassPeak>();

  /** Notes that a request of a class was started. */
  noteStarted(classOfWork: string, now: number): void {
    const running = this.#running(classOfWork) + 1;
    const peak = Math.max(running, this.#peak(classOfWork, now));
    this.#classes.set(classOfWork, { running, peak, at: now });
  }

  /** Notes that a request of a class has ended. */
  noteEnded(classOfWork: string, now: number): void {
    const running = this.#running(classOfWork) - 1;
    const peak = this.#peak(classOfWork, now);
    this.#classes.set(classOfWork, { running, peak, at: now });
  }

  /**
   * Returns the slots that other classes have used lately beyond their present use.
   * @param classOfWork - The class that asks.
   * @param now - Monotonic time in milliseconds.
   */
  reservedFrom(classOfWork: string, now: number): number {
    let reserved = 0;
    for (const name of this.#classes.keys()) {
      if (name === classOfWork) continue;
      const unused = this.#peak(name, now) - this.#running(name);
      reserved += Math.max(0, unused);
    }
    return reserved;
  }

  #running(classOfWork: string): number {
    return this.#classes.get(classOfWork)?.running ?? 0;
  }

  #peak(classOfWork: string, now: number): number {
    const known = this.#classes.get(classOfWork);
    if (known === undefined) return 0;
    const age = now - known.at;
    return known.peak * 2 ** (-age / PEAK_HALF_LIFE_MILLISECONDS);
  }
}
