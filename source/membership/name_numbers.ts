/** Maximum number of names that one direction of a peer stream numbers before it discards all numbers. */
export const MAXIMUM_NUMBERED_NAMES = 20_000;

/** Assigns numbers to names on the sending side of a peer stream; the number of the empty name is 0. */
export class NameEncoder {
  readonly #numbers = new Map<string, number>();
  #unsent: string[] = [];

  /** Whether all numbers must be discarded before further names are numbered. */
  get isFull(): boolean {
    return this.#numbers.size >= MAXIMUM_NUMBERED_NAMES;
  }

  /** Returns the number of a name; a new name is also queued for sending. */
  numberOf(name: string): number {
    if (name === "") return 0;
    const known = this.#numbers.get(name);
    if (known !== undefined) return known;
    const number = this.#numbers.size + 1;
    this.#numbers.set(name, number);
    this.#unsent.push(name);
    return number;
  }

  /** Returns and clears the names numbered since the last call. */
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

/** Resolves numbers to names on the receiving side of a peer stream. */
export class NameDecoder {
  #names: string[] = [];

  /** Adds new names; ignores names beyond the limit. */
  add(names: ReadonlyArray<string>): void {
    for (const name of names) {
      // The sender discards numbers only between batches, so one batch may exceed MAXIMUM_NUMBERED_NAMES.
      if (this.#names.length >= 2 * MAXIMUM_NUMBERED_NAMES) return;
      this.#names.push(name);
    }
  }

  /** Returns the name of a number, or undefined when the number was not assigned. */
  nameOf(number: number): string | undefined {
    return number === 0 ? "" : this.#names[number - 1];
  }

  /** Discards all numbers. */
  reset(): void {
    this.#names = [];
  }
}
