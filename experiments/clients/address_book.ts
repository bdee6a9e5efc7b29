import { request } from "undici";

const RESPONSE_TIMEOUT_MILLISECONDS = 3000;
const FIRST_RETRY_MILLISECONDS = 50;

interface AddressResponse {
  readonly addresses: ReadonlyArray<{ readonly address: string }>;
  readonly keepSeconds: number;
}

/**
 * Caches the addresses of the nodes to use, as callers do.
 * @example
 * ```ts
 * const book = new AddressBook({ seeds: () => ["127.0.0.1:8080"], failureDomain: "cluj-a" });
 * const address = await book.choose();
 * ```
 */
export class AddressBook {
  readonly #seeds: () => ReadonlyArray<string>;
  readonly #failureDomain: string;
  #addresses: ReadonlyArray<string> = [];
  #expiresAt = 0;
  #seedIndex = 0;

  /** @param options - Seed nodes, and the failure domain of the caller. */
  constructor(
    options: {
      /** Returns HOST:PORT of nodes that serve the address list. */
      readonly seeds: () => ReadonlyArray<string>;
      readonly failureDomain: string;
    },
  ) {
    this.#seeds = options.seeds;
    this.#failureDomain = options.failureDomain;
  }

  /** Returns HOST:PORT of the node to call next. */
  async choose(): Promise<string> {
    if (performance.now() >= this.#expiresAt) await this.#refresh();
    return this.#addresses[0] ?? this.#nextSeed();
  }

  /**
   * Removes a node that failed from the addresses until the next refresh.
   * @param address - HOST:PORT of the node.
   */
  avoid(address: string): void {
    const others = this.#addresses.filter((each) => each !== address);
    this.#addresses = others;
    if (others.length === 0) this.#expiresAt = 0;
  }

  async #refresh(): Promise<void> {
    const candidates = [...this.#addresses, ...this.#seeds()];
    for (const address of candidates) {
      const answer = await this.#fetchAddresses(address);
      if (answer === undefined || answer.addresses.length === 0) continue;
      this.#addresses = answer.addresses.map((each) => each.address);
      this.#expiresAt = performance.now() + answer.keepSeconds * 1000;
      return;
    }
    this.#expiresAt = performance.now() + FIRST_RETRY_MILLISECONDS;
  }

  async #fetchAddresses(address: string): Promise<AddressResponse | undefined> {
    try {
      const answer = await request(
        `http://${address}/v1/addresses?failure_domain=${this.#failureDomain}`,
        { signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MILLISECONDS) },
      );
      const body = await answer.body.json();
      return answer.statusCode === 200 ? body as AddressResponse : undefined;
    } catch {
      return undefined;
    }
  }

  #nextSeed(): string {
    const seeds = this.#seeds();
    this.#seedIndex = (this.#seedIndex + 1) % seeds.length;
    return seeds[this.#seedIndex] ?? "";
  }
}
