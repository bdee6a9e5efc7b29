import { request } from "undici";

const MAXIMUM_LOADED_VERSIONS = 2;

/** An order to load a weight version. */
export interface LoadOrder {
  readonly version: number;
  readonly location: string;
  readonly fencingNumber: number;
  readonly idempotencyKey: string;
}

/** Options of the loader that can change while the engine runs. */
export interface WeightLoaderBehaviour {
  readonly checksFencing: boolean;
  readonly failsSwapsSilently: boolean;
  readonly weightStoreAddress: string;
}

/** Result of a load order. */
export type LoadResult =
  | { readonly kind: "loaded" }
  | { readonly kind: "fenced"; readonly highest: number }
  | { readonly kind: "failed" };

/** Executes orders to load weight versions and retains the two highest versions. */
export class WeightLoader {
  readonly #behaviour: () => WeightLoaderBehaviour;
  readonly #onSwap: () => void;
  readonly #results = new Map<string, Promise<LoadResult>>();
  #versions: ReadonlyArray<number>;
  #highestFencingNumber = 0;

  /**
   * @param versions - Versions loaded initially, in ascending order.
   * @param options - Function that returns the current options, and the callback for a swap.
   */
  constructor(
    versions: ReadonlyArray<number>,
    options: {
      readonly behaviour: () => WeightLoaderBehaviour;
      readonly onSwap: () => void;
    },
  ) {
    this.#versions = versions;
    this.#behaviour = options.behaviour;
    this.#onSwap = options.onSwap;
  }

  /** The loaded versions in ascending order. */
  get versions(): ReadonlyArray<number> {
    return this.#versions;
  }

  /** The version that generates, which is the highest loaded one. */
  get current(): number {
    return this.#versions.at(-1) ?? 0;
  }

  /** Executes an order; a repeated idempotency key returns the first result unless it failed. */
  async load(order: LoadOrder): Promise<LoadResult> {
    if (this.#behaviour().checksFencing) {
      if (order.fencingNumber < this.#highestFencingNumber) {
        return { kind: "fenced", highest: this.#highestFencingNumber };
      }
      this.#highestFencingNumber = order.fencingNumber;
    }
    const earlierResult = this.#results.get(order.idempotencyKey);
    if (earlierResult !== undefined) return await earlierResult;
    const result = this.#fetchAndSwap(order);
    this.#results.set(order.idempotencyKey, result);
    const completedResult = await result;
    if (completedResult.kind === "failed") {
      this.#results.delete(order.idempotencyKey);
    }
    return completedResult;
  }

  async #fetchAndSwap(order: LoadOrder): Promise<LoadResult> {
    const fetched = await this.#fetch(order.location);
    if (!fetched) return { kind: "failed" };
    if (this.#behaviour().failsSwapsSilently) return { kind: "loaded" };
    if (this.#versions.includes(order.version)) return { kind: "loaded" };
    this.#versions = [...this.#versions, order.version]
      .sort((left, right) => left - right)
      .slice(-MAXIMUM_LOADED_VERSIONS);
    this.#onSwap();
    return { kind: "loaded" };
  }

  async #fetch(location: string): Promise<boolean> {
    const store = this.#behaviour().weightStoreAddress;
    if (store === "") return true;
    try {
      const name = encodeURIComponent(location);
      const answer = await request(`${store}/weights/${name}`);
      for await (const _chunk of answer.body) {
        // Only the time of the download matters, so the content is discarded.
      }
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }
}
