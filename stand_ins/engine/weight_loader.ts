import { request } from "undici";

const MAXIMUM_LOADED = 2;

/** An order to load a weight version, as it comes over HTTP. */
export interface LoadOrder {
  readonly version: number;
  readonly location: string;
  readonly fencingNumber: number;
  readonly idempotencyKey: string;
}

/** How the loader behaves, read at each order. */
export interface WeightLoaderBehaviour {
  readonly checksFencing: boolean;
  readonly failsSwapsSilently: boolean;
  readonly weightStoreAddress: string;
}

/** What became of an order. */
export type LoadResult =
  | { readonly kind: "loaded" }
  | { readonly kind: "fenced"; readonly highest: number }
  | { readonly kind: "failed" };

/** Loads weight versions by orders. */
export class WeightLoader {
  readonly #behaviour: () => WeightLoaderBehaviour;
  readonly #onSwap: () => void;
  readonly #results = new Map<string, Promise<LoadResult>>();
  #versions: ReadonlyArray<number>;
  #highest = 0;

  /**
   * @param versions - Versions loaded at the start, ascending.
   * @param options - Behaviour, and what is told of a swap.
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

  /** Loaded versions, ascending. */
  get versions(): ReadonlyArray<number> {
    return this.#versions;
  }

  /** The version that generates. */
  get current(): number {
    return this.#versions.at(-1) ?? 0;
  }

  /** Carries out an order; the same idempotency key returns the first result. */
  async load(order: LoadOrder): Promise<LoadResult> {
    if (this.#behaviour().checksFencing) {
      if (order.fencingNumber < this.#highest) {
        return { kind: "fenced", highest: this.#highest };
      }
      this.#highest = order.fencingNumber;
    }
    const known = this.#results.get(order.idempotencyKey);
    if (known !== undefined) return await known;
    const result = this.#fetchAndSwap(order);
    this.#results.set(order.idempotencyKey, result);
    const ended = await result;
    if (ended.kind === "failed") this.#results.delete(order.idempotencyKey);
    return ended;
  }

  async #fetchAndSwap(order: LoadOrder): Promise<LoadResult> {
    const fetched = await this.#fetch(order.location);
    if (!fetched) return { kind: "failed" };
    if (this.#behaviour().failsSwapsSilently) return { kind: "loaded" };
    if (this.#versions.includes(order.version)) return { kind: "loaded" };
    this.#versions = [...this.#versions, order.version]
      .sort((left, right) => left - right)
      .slice(-MAXIMUM_LOADED);
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
        // The bytes themselves are of no use here.
      }
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }
}
