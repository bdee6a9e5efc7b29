/**
 * Bytes of a body that have arrived and were not passed on. undici drops them when the connection
 * breaks off before they were read.
 */
export class UnreadBytes {
  #chunks: Buffer[] = [];

  /** Adds bytes that have arrived. */
  add(chunk: Buffer): void {
    this.#chunks.push(chunk);
  }

  /** Removes bytes from the start that were passed on. */
  remove(length: number): void {
    let left = length;
    while (left > 0) {
      const first = this.#chunks.shift();
      if (first === undefined) return;
      if (first.length > left) this.#chunks.unshift(first.subarray(left));
      left -= first.length;
    }
  }

  /** Removes and returns all bytes. */
  takeAll(): Buffer {
    const bytes = Buffer.concat(this.#chunks);
    this.#chunks = [];
    return bytes;
  }
}
