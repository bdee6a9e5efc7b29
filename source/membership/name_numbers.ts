/**
 * Number of numbered names at which the sender on a peer stream discards all numbers before the
 * next batch.
 */
export const NAMES_BEFORE_RESET = 20_000;

/** Replaces names by numbers on the sending side of a peer stream; 0 stands for the empty name. */
export class NameEncoder {
  readonly #numbers = new Map<string, number>();
  #unsent: string[] = [];

  /** Whether all numbers must be discarded before the next batch is encoded. */
  get isFull(): boolean {
    return this.#numbers.size >= NAMES_BEFORE_RESET;
  }

  /** Returns the number that stands for a name; a name without a number gets the next one and is queued for sending. */
  numberOf(name: string): number {
    if (name === "") return 0;
    const known = this.#numbers.get(name);
    if (known !== undefined) return known;
    const number = this.#numbers.size + 1;
    this.#numbers.set(name, number);
    this.#unsent.push(name);
    return number;
  }

  /** Returns the names that got a number since the last call, in the order of their numbers, and clears the queue. */
  takeUnsent(): string[] {
    const unsent = this.#unsent;
    this.#unsent = [];
    return unsent;
  }

  /** Discards all numbers. */
  reset(): void {
    this.#numbers.clear();
    this.#unsent = [];
  }
}

/** Replaces numbers by names on the receiving side of a peer stream. */
export class NameDecoder {
  #names: string[] = [];

  /** Adds new names in the order of their numbers; ignores names beyond twice `NAMES_BEFORE_RESET`. */
  add(names: ReadonlyArray<string>): void {
    for (const name of names) {
      // The sender discards numbers only between batches, so the last batch before a reset may add
      // names beyond NAMES_BEFORE_RESET; the factor 2 leaves room for them.
      if (this.#names.length >= 2 * NAMES_BEFORE_RESET) return;
      this.#names.push(name);
    }
  }

  /** Returns the name that a number stands for, or undefined when no name has the number. */
  nameOf(number: number): string | undefined {
    return number === 0 ? "" : this.#names[number - 1];
  }

  /** Discards all numbers. */
  reset(): void {
    this.#names = [];
  }
}
