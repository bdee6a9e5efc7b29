/**
 * Set of sample indices of one step, kept as a bitmap. Values never change.
 * @example
 * ```ts
 * const held = SampleBitmap.empty(16).with([3, 5]);
 * held.has(3); // true
 * ```
 */
export class SampleBitmap {
  readonly #bytes: Uint8Array;
  /** Number of samples of the step. */
  readonly size: number;

  private constructor(size: number, bytes: Uint8Array) {
    this.size = size;
    this.#bytes = bytes;
  }

  /**
   * Creates a bitmap without any sample.
   * @param size - Number of samples of the step.
   */
  static empty(size: number): SampleBitmap {
    return new SampleBitmap(size, new Uint8Array(Math.ceil(size / 8)));
  }

  /**
   * Reads a bitmap; undefined when the bytes do not fit the size.
   * @param size - Number of samples of the step.
   * @param bytes - Bit 0 of the first byte is sample 0.
   */
  static fromBytes(size: number, bytes: Uint8Array): SampleBitmap | undefined {
    if (bytes.length !== Math.ceil(size / 8)) return undefined;
    const surplusBits = bytes.length * 8 - size;
    const last = bytes[bytes.length - 1] ?? 0;
    if (surplusBits > 0 && last >> (8 - surplusBits) !== 0) return undefined;
    return new SampleBitmap(size, bytes.slice());
  }

  /** Returns whether a sample is in the set. */
  has(index: number): boolean {
    return ((this.#bytes[index >> 3] ?? 0) >> (index & 7) & 1) === 1;
  }

  /** Returns a set with further samples; indices outside the step are ignored. */
  with(indices: Iterable<number>): SampleBitmap {
    const bytes = this.#bytes.slice();
    for (const index of indices) {
      if (index < 0 || index >= this.size) continue;
      bytes[index >> 3] = (bytes[index >> 3] ?? 0) | 1 << (index & 7);
    }
    return new SampleBitmap(this.size, bytes);
  }

  /** Returns the number of samples in the set. */
  count(): number {
    let count = 0;
    for (const byte of this.#bytes) {
      for (let rest = byte; rest !== 0; rest &= rest - 1) count += 1;
    }
    return count;
  }

  /** Returns whether every sample of the step is in the set. */
  isFull(): boolean {
    return this.count() === this.size;
  }

  /** Returns the bitmap's bytes. */
  toBytes(): Uint8Array<ArrayBuffer> {
    return new Uint8Array(this.#bytes);
  }
}
