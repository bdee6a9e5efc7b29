import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

const BYTES_PER_MEGABYTE = 1024 * 1024;
/** Bytes read from connections after which their buffers are collected; V8 itself waits for 64 MB. */
const SHORT_LIVED_BYTES = 8 * BYTES_PER_MEGABYTE;
/** Bytes of large bodies that have ended after which the whole heap is collected. */
const LONG_LIVED_BYTES = 16 * BYTES_PER_MEGABYTE;

/** V8's collections. */
export interface Collections {
  /** Collects objects that were created since the last collections. */
  readonly collectYoung: () => void;
  /** Collects all objects. */
  readonly collectAll: () => void;
}

/**
 * Collects the buffers of large bodies soon after they are no longer used. V8 does not count the memory
 * of buffers toward its heap, and lets them grow beyond the memory of a small instance.
 * @example
 * ```ts
 * const garbage = new GarbageCollection(findCollections());
 * garbage.recordRead(65536);
 * ```
 */
export class GarbageCollection {
  readonly #collections: Collections;
  #readBytes = 0;
  #endedBytes = 0;

  /** @param collections - How garbage is collected. */
  constructor(collections: Collections) {
    this.#collections = collections;
  }

  /** Records bytes that were read from a connection and copied or dropped. */
  recordRead(bytes: number): void {
    this.#readBytes += bytes;
    if (this.#readBytes < SHORT_LIVED_BYTES) return;
    this.#readBytes = 0;
    this.#collections.collectYoung();
  }

  /** Records bytes of a large body that has ended. */
  recordEnded(bytes: number): void {
    this.#endedBytes += bytes;
    if (this.#endedBytes >= LONG_LIVED_BYTES) this.collectAll();
  }

  /** Collects all garbage. */
  collectAll(): void {
    this.#readBytes = 0;
    this.#endedBytes = 0;
    this.#collections.collectAll();
  }
}

/** Finds V8's collections, which are visible to contexts that are created after the flag is set. */
export function findCollections(): Collections {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as (
    options?: { readonly type: "minor" },
  ) => void;
  return {
    collectYoung: () => collect({ type: "minor" }),
    collectAll: () => collect(),
  };
}
