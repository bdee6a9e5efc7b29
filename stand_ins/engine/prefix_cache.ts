import { LRUCache } from "lru-cache";
import {
  digestPrefixes,
  TOKENS_OF_A_BLOCK,
} from "../../source/backends/prefix_digest.ts";

/** What a prefix cache needs. */
export interface PrefixCacheOptions {
  readonly maximumTokens: number;
  readonly onChange: (kind: "stored" | "evicted", digest: string) => void;
}

/** Remembers blocks of prompts in limited memory, the least recently used goes first. */
export class PrefixCache {
  readonly #blocks: LRUCache<string, true>;
  readonly #options: PrefixCacheOptions;

  /** @param options - Size, and what is told of changes. */
  constructor(options: PrefixCacheOptions) {
    this.#options = options;
    this.#blocks = new LRUCache({
      max: Math.max(1, Math.floor(options.maximumTokens / TOKENS_OF_A_BLOCK)),
      dispose: (_value, digest, reason) => {
        if (reason === "evict") options.onChange("evicted", digest);
      },
    });
  }

  /**
   * Uses a prompt's blocks, storing those that are new.
   * @param salt - The cache salt.
   * @param prompt - The prompt.
   * @returns How many tokens were cached already.
   */
  use(salt: string, prompt: string): number {
    const digests = digestPrefixes(salt, prompt);
    const missing = digests.findIndex((digest) => !this.#blocks.has(digest));
    for (const digest of digests) this.#store(digest);
    const cached = missing === -1 ? digests.length : missing;
    return cached * TOKENS_OF_A_BLOCK;
  }

  /** Share of the memory that is free, in thousandths. */
  freePermille(): number {
    const used = this.#blocks.size / this.#blocks.max;
    return Math.round(1000 * (1 - used));
  }

  /** Drops everything, as a swap of weights does. */
  clear(): void {
    const digests = [...this.#blocks.keys()];
    this.#blocks.clear();
    for (const digest of digests) this.#options.onChange("evicted", digest);
  }

  #store(digest: string): void {
    const known = this.#blocks.get(digest) === true;
    if (known) return;
    this.#blocks.set(digest, true);
    this.#options.onChange("stored", digest);
  }
}
