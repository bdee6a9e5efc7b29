import type { Clock } from "../../source/utilities/clock.ts";

const CHUNK_BYTES = 64 * 1024;

/** How the weight store behaves. */
export interface WeightStoreOptions {
  readonly clock: Clock;
  /** Size of every version. */
  readonly versionBytes: number;
  /** Shared by all downloads; 0 for no limit. */
  readonly bytesPerSecond: number;
}

/** Weight store whose downloads share one rate limit. */
export class WeightStore {
  readonly #options: WeightStoreOptions;
  #freeAt = 0;

  /** @param options - Sizes and rate. */
  constructor(options: WeightStoreOptions) {
    this.#options = options;
  }

  /** Yields the bytes of a version at the limited rate. */
  async *read(): AsyncGenerator<Uint8Array> {
    let left = this.#options.versionBytes;
    while (left > 0) {
      const size = Math.min(left, CHUNK_BYTES);
      await this.#waitFor(size);
      yield new Uint8Array(size);
      left -= size;
    }
  }

  async #waitFor(bytes: number): Promise<void> {
    const { clock, bytesPerSecond } = this.#options;
    if (bytesPerSecond === 0) return;
    const start = Math.max(this.#freeAt, clock.monotonic());
    this.#freeAt = start + (bytes * 1000) / bytesPerSecond;
    await clock.sleep(this.#freeAt - clock.monotonic());
  }
}
