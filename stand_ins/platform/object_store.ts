/** Object store in memory. */
export class ObjectStore {
  readonly #objects = new Map<string, Uint8Array>();

  /** Writes an object whole. */
  put(key: string, body: Uint8Array): void {
    this.#objects.set(key, body);
  }

  /** Returns an object; undefined when it is absent. */
  get(key: string): Uint8Array | undefined {
    return this.#objects.get(key);
  }

  /** Lists keys under a prefix in their order. */
  list(prefix: string): ReadonlyArray<string> {
    return [...this.#objects.keys()]
      .filter((key) => key.startsWith(prefix))
      .sort();
  }

  /** Deletes an object. */
  delete(key: string): void {
    this.#objects.delete(key);
  }
}
