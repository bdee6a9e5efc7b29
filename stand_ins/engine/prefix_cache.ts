import { LRUCache } from "lru-cache";
import {
  digestPrefixes,
  TOKENS_PER_BLOCK,
} from "../../source/backends/prefix_digest.ts";

/** Options of a prefix cache. */
export interface PrefixCacheOptions {
  readonly maximumTokens: number;
  readonly onChange: (kind: "stored" | "evicted", digest: string) => void;
}

/** Caches blocks of prompts up to a maximum size and evicts the least recently used. */
export class PrefixCache {
  readonly #blocks: LRUCache<string, true>;
  readonly #options: PrefixCacheOptions;

  /** @param options - Size in tokens, and the callback for stored and evicted blocks. */
  constructor(options: PrefixCacheOptions) {
    this.#options = options;
    this.#blocks = new LRUCache({
      max: Math.max(1, Math.floor(options.maximumTokens / TOKENS_PER_BLOCK)),
      dispose: (_value, digest, reason) => {
        if (reason === "evict") options.onChange("evicted", digest);
      },
    });
  }

  /**
   * Looks up the blocks of a prompt and stores those that are missing.
   * @param salt - Cache salt; prompts share blocks only under the same salt.
   * @param prompt - Prompt of the completion.
   * @returns Number of leading prompt tokens that were cached before the call.
   */
  lookUpAndStore(salt: string, prompt: string): number {
    const digests = digestPrefixes(salt, prompt);
    const missing = digests.findIndex((digest) => !this.#blocks.has(digest));
    for (const digest of digests) this.#store(digest);
    const cachedBlocks = missing === -1 ? digests.length : missing;
    return cachedBlocks * TOKENS_PER_BLOCK;
  }

  /** Returns the free share of the cache, in thousandths. */
  freePermille(): number {
    const usedShare = this.#blocks.size / this.#blocks.max;
    return Math.round(1000 * (1 - usedShare));
  }

  /** Evicts all blocks, which a weight swap makes invalid. */
  clear(): void {
    const digests = [...this.#blocks.keys()];
    this.#blocks.clear();
    for (const digest of digests) this.#options.onChange("evicted", digest);
  }

  #store(digest: string): void {
    const isCached = this.#blocks.get(digest) === true;
    if (isCached) return;
    this.#blocks.set(digest, true);
    this.#options.onChange("stored", digest);
  }
}
