import { LRUCache } from "lru-cache";
import type { CacheEvent } from "../backends/engine_client.ts";
import { TOKENS_PER_BLOCK } from "../backends/prefix_digest.ts";

const MAXIMUM_DIGESTS = 20_000;
const MAXIMUM_SERVERS = 2_000;

/**
 * Estimates which servers have which prompt prefixes cached, from the prompts sent to them and from their cache
 * events, which arrive late and with gaps.
 */
export class PrefixCacheIndex {
  /** Addresses of the servers that have a prefix cached, by prefix digest. */
  readonly #serversByDigest = new LRUCache<string, Set<string>>({
    max: MAXIMUM_DIGESTS,
  });
  /** Sequence numbers of the newest applied events, by server address. */
  readonly #sequences = new LRUCache<string, number>({ max: MAXIMUM_SERVERS });
  /** Incarnations of the servers' processes, by server address. */
  readonly #starts = new LRUCache<string, string>({ max: MAXIMUM_SERVERS });

  /** Assumes that a server caches the prefixes of a prompt that was sent to it. */
  assumeCached(address: string, digests: ReadonlyArray<string>): void {
    for (const digest of digests) this.#add(address, digest);
  }

  /**
   * Applies cache events of a server, given in ascending order of sequence; ignores those with a
   * sequence number that was already reached. A prefix that a gap in the events leaves out is added
   * when a prompt with that prefix is sent to the server.
   */
  apply(address: string, events: ReadonlyArray<CacheEvent>): void {
    for (const event of events) {
      const last = this.#sequences.get(address) ?? event.sequence - 1;
      if (event.sequence <= last) continue;
      this.#sequences.set(address, event.sequence);
      if (event.kind === "stored") this.#add(address, event.prefixDigest);
      else this.#serversByDigest.peek(event.prefixDigest)?.delete(address);
    }
  }

  /**
   * Records the incarnation of a server's process; clears the server's entries if another process
   * had been recorded at its address.
   */
  recordStart(address: string, startIdentity: string): void {
    const existing = this.#starts.get(address);
    this.#starts.set(address, startIdentity);
    if (existing === undefined || existing === startIdentity) return;
    this.#sequences.delete(address);
    for (const servers of this.#serversByDigest.values()) {
      servers.delete(address);
    }
  }

  /** Returns the sequence number of the newest applied event; 0 for none. */
  newestSequence(address: string): number {
    return this.#sequences.get(address) ?? 0;
  }

  /** Returns the estimated number of a prompt's tokens that a server has cached. */
  cachedTokens(address: string, digests: ReadonlyArray<string>): number {
    let blocks = 0;
    while (blocks < digests.length && this.#has(address, digests[blocks]!)) {
      blocks += 1;
    }
    return blocks * TOKENS_PER_BLOCK;
  }

  #has(address: string, digest: string): boolean {
    return this.#serversByDigest.peek(digest)?.has(address) ?? false;
  }

  #add(address: string, digest: string): void {
    const servers = this.#serversByDigest.get(digest) ?? new Set<string>();
    servers.add(address);
    this.#serversByDigest.set(digest, servers);
  }
}
