/**
 * Represents a set of sample indices of one step as an immutable bitmap.
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
   * Parses a bitmap; returns undefined when the bytes do not match the size.
   * @param size - Number of samples of the step.
   * @param bytes - The bitmap; bit 0 of the first byte is sample 0.
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

  /** Returns a set that also contains further samples; ignores indices outside the step. */
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
      for (let remaining = byte; remaining !== 0; remaining &= remaining - 1) {
        count += 1;
      }
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
