/** An in-memory object store. */
export class ObjectStore {
  readonly #objects = new Map<string, Uint8Array>();

  /** Writes an object, replacing any earlier content. */
  put(key: string, body: Uint8Array): void {
    this.#objects.set(key, body);
  }

  /** Returns an object, or undefined if it does not exist. */
  get(key: string): Uint8Array | undefined {
    return this.#objects.get(key);
  }

  /** Lists the keys with a prefix in ascending order. */
  list(prefix: string): ReadonlyArray<string> {
    return [...this.#objects.keys()]
      .filter((key) => key.startsWith(prefix))
      .sort();
  }

  /** Deletes an object if it exists. */
  delete(key: string): void {
    this.#objects.delete(key);
  }
}
