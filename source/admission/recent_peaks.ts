const PEAK_HALF_LIFE_MILLISECONDS = 5000;

interface ClassPeak {
  readonly running: number;
  readonly peak: number;
  /** Monotonic time in milliseconds. */
  readonly updatedAt: number;
}

/**
 * Tracks the recent peak of concurrently running requests of each class; counts only requests that
 * started on time.
 */
export class RecentPeaks {
  /** Peaks by class of work. */
  readonly #classes = new Map<string, ClassPeak>();

  /** Records that an on-time request of a class started. */
  recordStarted(classOfWork: string, now: number): void {
    const running = this.#running(classOfWork) + 1;
    const peak = Math.max(running, this.#peak(classOfWork, now));
    this.#classes.set(classOfWork, { running, peak, updatedAt: now });
  }

  /** Records that an on-time request of a class ended. */
  recordEnded(classOfWork: string, now: number): void {
    const running = this.#running(classOfWork) - 1;
    const peak = this.#peak(classOfWork, now);
    this.#classes.set(classOfWork, { running, peak, updatedAt: now });
  }

  /**
   * Returns how many more slots the other classes used recently than they use now.
   * @param classOfWork - Class that is left out.
   * @param now - Monotonic time in milliseconds.
   */
  reservedByOtherClasses(classOfWork: string, now: number): number {
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
    const existing = this.#classes.get(classOfWork);
    if (existing === undefined) return 0;
    const age = now - existing.updatedAt;
    return existing.peak * 2 ** (-age / PEAK_HALF_LIFE_MILLISECONDS);
  }
}
