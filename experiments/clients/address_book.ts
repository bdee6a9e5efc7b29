import { request } from "undici";

const ANSWER_TIMEOUT_MILLISECONDS = 3000;
const FIRST_RETRY_MILLISECONDS = 50;

interface AddressAnswer {
  readonly addresses: ReadonlyArray<{ readonly address: string }>;
  readonly keepSeconds: number;
}

/**
 * Keeps the answer about which nodes to use, as callers do.
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
  #keepUntil = 0;
  #next = 0;

  /** @param options - Nodes that are asked first, and the caller's failure domain. */
  constructor(
    options: {
      /** Returns HOST:PORT of nodes that may be asked for addresses. */
      readonly seeds: () => ReadonlyArray<string>;
      readonly failureDomain: string;
    },
  ) {
    this.#seeds = options.seeds;
    this.#failureDomain = options.failureDomain;
  }

  /** Returns HOST:PORT of the node to use next. */
  async choose(): Promise<string> {
    if (performance.now() >= this.#keepUntil) await this.#refresh();
    return this.#addresses[0] ?? this.#nextSeed();
  }

  /**
   * Puts a node that failed last, until the answer is asked for anew.
   * @param address - HOST:PORT of the node.
   */
  avoid(address: string): void {
    const others = this.#addresses.filter((each) => each !== address);
    this.#addresses = others;
    if (others.length === 0) this.#keepUntil = 0;
  }

  async #refresh(): Promise<void> {
    const candidates = [...this.#addresses, ...this.#seeds()];
    for (const address of candidates) {
      const answer = await this.#ask(address);
      if (answer === undefined || answer.addresses.length === 0) continue;
      this.#addresses = answer.addresses.map((each) => each.address);
      this.#keepUntil = performance.now() + answer.keepSeconds * 1000;
      return;
    }
    this.#keepUntil = performance.now() + FIRST_RETRY_MILLISECONDS;
  }

  async #ask(address: string): Promise<AddressAnswer | undefined> {
    try {
      const answer = await request(
        `http://${address}/v1/addresses?failure_domain=${this.#failureDomain}`,
        { signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS) },
      );
      const body = await answer.body.json();
      return answer.statusCode === 200 ? body as AddressAnswer : undefined;
    } catch {
      return undefined;
    }
  }

  #nextSeed(): string {
    const seeds = this.#seeds();
    this.#next = (this.#next + 1) % seeds.length;
    return seeds[this.#next] ?? "";
  }
}
