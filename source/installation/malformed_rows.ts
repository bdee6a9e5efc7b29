import { LRUCache } from "lru-cache";
import type { Clock } from "../utilities/clock.ts";

/** Maximum number of rows of which it is remembered that a line was logged. */
const MAXIMUM_REMEMBERED = 1000;
/** Maximum number of lines in an interval, however many rows are malformed. */
const MAXIMUM_LINES = 20;
const INTERVAL_MILLISECONDS = 60_000;

/**
 * Decodes the rows of a table one by one, and leaves out and logs those that can't be decoded. Another
 * program may have written them, so decoding must never end the loop that follows the table.
 */
export class MalformedRows {
  readonly #options: {
    readonly clock: Pick<Clock, "monotonic">;
    readonly log: (key: string) => void;
  };
  readonly #logged = new LRUCache<string, true>({ max: MAXIMUM_REMEMBERED });
  #intervalEndsAt = -Infinity;
  #lines = 0;

  /** @param options - The clock, and the function that logs the key of a malformed row. */
  constructor(options: {
    readonly clock: Pick<Clock, "monotonic">;
    readonly log: (key: string) => void;
  }) {
    this.#options = options;
  }

  /**
   * Decodes a row.
   * @param key - Key of the row.
   * @param decode - Returns the content of the row; undefined if it is malformed.
   * @returns The content; undefined for a malformed row, which is logged once.
   */
  decode<Value>(
    key: string,
    decode: () => Value | undefined,
  ): Value | undefined {
    const value = tryDecode(decode);
    if (value === undefined) this.#record(key);
    else this.#logged.delete(key);
    return value;
  }

  #record(key: string): void {
    if (this.#logged.has(key)) return;
    this.#logged.set(key, true);
    const now = this.#options.clock.monotonic();
    if (now >= this.#intervalEndsAt) {
      this.#intervalEndsAt = now + INTERVAL_MILLISECONDS;
      this.#lines = 0;
    }
    if (this.#lines >= MAXIMUM_LINES) return;
    this.#lines += 1;
    this.#options.log(key);
  }
}

function tryDecode<Value>(decode: () => Value | undefined): Value | undefined {
  try {
    return decode();
  } catch {
    // A value can be too deep or too large for a decoder.
    return undefined;
  }
}
