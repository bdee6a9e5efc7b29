interface PlannedEvent {
  readonly at: number;
  readonly run: () => void;
}

/** Runs planned functions in the order of their times, without waiting. */
export class Agenda {
  /** In descending order of time, so that the next event is the last item. */
  readonly #events: PlannedEvent[] = [];

  /** Plans a function; functions with the same time run in the order in which they were added. */
  add(at: number, run: () => void): void {
    let low = 0;
    let high = this.#events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#events[middle]?.at ?? 0) > at) low = middle + 1;
      else high = middle;
    }
    this.#events.splice(low, 0, { at, run });
  }

  /** Runs all functions, also those that are added meanwhile. */
  run(): void {
    for (
      let next = this.#events.pop();
      next !== undefined;
      next = this.#events.pop()
    ) next.run();
  }
}
