/** Number of recent durations that are kept of each route. */
const MAXIMUM_DURATIONS = 64;

/** Keeps the recent durations of the calls of each route, in milliseconds. */
export class RecentDurations {
  readonly #durations = new Map<string, number[]>();

  /** Records the duration of a call. */
  record(route: string, milliseconds: number): void {
    let durations = this.#durations.get(route);
    if (durations === undefined) {
      durations = [];
      this.#durations.set(route, durations);
    }
    durations.push(milliseconds);
    if (durations.length > MAXIMUM_DURATIONS) durations.shift();
  }

  /** Returns the durations of a route, the oldest first; empty without any. */
  get(route: string): ReadonlyArray<number> {
    return this.#durations.get(route) ?? [];
  }
}
