/** Most names that one direction of a stream numbers before it starts anew. */
export const MAXIMUM_NUMBERED_NAMES = 20_000;

/** Numbers of names on the sending side of a stream; the empty name is 0. */
export class NameNumberer {
  readonly #numbers = new Map<string, number>();
  #unsent: string[] = [];

  /** Whether the numbers must be voided before further names are used. */
  get isFull(): boolean {
    return this.#numbers.size >= MAXIMUM_NUMBERED_NAMES;
  }

  /** Returns a name's number, and has it sent when it is new. */
  numberOf(name: string): number {
    if (name === "") return 0;
    const known = this.#numbers.get(name);
    if (known !== undefined) return known;
    const number = this.#numbers.size + 1;
    this.#numbers.set(name, number);
    this.#unsent.push(name);
    return number;
  }

  /** Returns the names that are new since the last call. */
  takeUnsent(): string[] {
    const unsent = this.#unsent;
    this.#unsent = [];
    return unsent;
  }

  /** Voids all numbers. */
  reset(): void {
    this.#numbers.clear();
    this.#unsent = [];
  }
}

/** Names by number on the receiving side of a stream. */
export class NumberedNames {
  #names: string[] = [];

  /** Takes new names over; those past the bound are left out. */
  add(names: ReadonlyArray<string>): void {
    for (const name of names) {
      // The bound is soft by one batch, since the sender resets between batches.
      if (this.#names.length >= 2 * MAXIMUM_NUMBERED_NAMES) return;
      this.#names.push(name);
    }
  }

  /** Returns the name of a number; undefined when no such number was given. */
  nameOf(number: number): string | undefined {
    return number === 0 ? "" : this.#names[number - 1];
  }

  /** Voids all numbers. */
  reset(): void {
    this.#names = [];
  }
}
