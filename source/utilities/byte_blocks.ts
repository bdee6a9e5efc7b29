/** Size of the blocks that small chunks are copied into. */
const BLOCK_BYTES = 16 * 1024;
/** Least size of a chunk that is kept as it is. */
const KEPT_CHUNK_BYTES = 4 * 1024;

/**
 * Collects chunks of bytes. Small ones are copied into blocks, as each chunk is an object that takes far
 * more memory than a few bytes.
 * @example
 * ```ts
 * blocks.add(Buffer.from("a"));
 * blocks.add(Buffer.from("b"));
 * blocks.join().toString(); // "ab"
 * ```
 */
export class ByteBlocks {
  #blocks: Buffer[] = [];
  /** The block that small chunks are copied into, and how much of it is in use. */
  #open: Buffer | undefined;
  #openBytes = 0;
  #length = 0;

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Number of blocks and chunks that are kept. */
  get blocks(): number {
    return this.#blocks.length + (this.#open === undefined ? 0 : 1);
  }

  /** Adds a chunk at the end. */
  add(chunk: Buffer): void {
    this.#length += chunk.length;
    if (chunk.length >= KEPT_CHUNK_BYTES) {
      this.#closeBlock();
      this.#blocks.push(chunk);
      return;
    }
    let rest = chunk;
    while (rest.length > 0) {
      this.#open ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
      const copied = rest.copy(this.#open, this.#openBytes);
      this.#openBytes += copied;
      rest = rest.subarray(copied);
      if (this.#openBytes === BLOCK_BYTES) this.#closeBlock();
    }
  }

  /** Returns all bytes in one buffer, and keeps none. */
  join(): Buffer {
    this.#closeBlock();
    const [first = Buffer.alloc(0), ...others] = this.#blocks;
    this.#blocks = [];
    this.#length = 0;
    return others.length === 0 ? first : Buffer.concat([first, ...others]);
  }

  #closeBlock(): void {
    if (this.#open === undefined) return;
    this.#blocks.push(this.#open.subarray(0, this.#openBytes));
    this.#open = undefined;
    this.#openBytes = 0;
  }
}
