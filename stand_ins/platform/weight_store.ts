import type { Clock } from "../../source/utilities/clock.ts";

const CHUNK_BYTES = 64 * 1024;

/** Options of a weight store. */
export interface WeightStoreOptions {
  readonly clock: Clock;
  /** Size of each weight version. */
  readonly versionBytes: number;
  /** Rate limit shared by all downloads; 0 for no limit. */
  readonly bytesPerSecond: number;
}

/** A weight store whose downloads share one rate limit. */
export class WeightStore {
  readonly #options: WeightStoreOptions;
  #availableAt = 0;

  /** @param options - Clock, size of a version in bytes, and rate in bytes per second. */
  constructor(options: WeightStoreOptions) {
    this.#options = options;
  }

  /** Yields the zero-filled content of a version, in chunks at the limited rate. */
  async *read(): AsyncGenerator<Uint8Array> {
    let remaining = this.#options.versionBytes;
    while (remaining > 0) {
      const size = Math.min(remaining, CHUNK_BYTES);
      await this.#waitForBandwidth(size);
      yield new Uint8Array(size);
      remaining -= size;
    }
  }

  async #waitForBandwidth(bytes: number): Promise<void> {
    const { clock, bytesPerSecond } = this.#options;
    if (bytesPerSecond === 0) return;
    const start = Math.max(this.#availableAt, clock.monotonic());
    this.#availableAt = start + (bytes * 1000) / bytesPerSecond;
    await clock.sleep(this.#availableAt - clock.monotonic());
  }
}
