import { LRUCache } from "lru-cache";
import type { CacheEvent } from "../backends/engine_client.ts";
import { TOKENS_OF_A_BLOCK } from "../backends/prefix_digest.ts";

const MAXIMUM_DIGESTS = 20_000;
const MAXIMUM_SERVERS = 2_000;

/** Believes which servers have which prefixes cached; events about it come late and with gaps. */
export class CacheKnowledge {
  readonly #holders = new LRUCache<string, Set<string>>({
    max: MAXIMUM_DIGESTS,
  });
  readonly #sequences = new LRUCache<string, number>({ max: MAXIMUM_SERVERS });
  readonly #starts = new LRUCache<string, string>({ max: MAXIMUM_SERVERS });

  /** Expects a server to cache the prefixes of a prompt that was sent there. */
  expect(address: string, digests: ReadonlyArray<string>): void {
    for (const digest of digests) this.#add(address, digest);
  }

  /** Takes over events of a server; what a gap hides shows again when prompts are sent there. */
  apply(address: string, events: ReadonlyArray<CacheEvent>): void {
    for (const event of events) {
      const last = this.#sequences.get(address) ?? event.sequence - 1;
      if (event.sequence <= last) continue;
      this.#sequences.set(address, event.sequence);
      if (event.kind === "stored") this.#add(address, event.prefixDigest);
      else this.#holders.peek(event.prefixDigest)?.delete(address);
    }
  }

  /** Forgets what was known of a server when another process answers at its address. */
  noteStart(address: string, startIdentity: string): void {
    const known = this.#starts.get(address);
    this.#starts.set(address, startIdentity);
    if (known === undefined || known === startIdentity) return;
    this.#sequences.delete(address);
    for (const holders of this.#holders.values()) holders.delete(address);
  }

  /** Sequence number of the newest event taken over; 0 for none. */
  newestSequence(address: string): number {
    return this.#sequences.get(address) ?? 0;
  }

  /** Returns how many tokens of a prompt a server is believed to have cached. */
  cachedTokens(address: string, digests: ReadonlyArray<string>): number {
    let blocks = 0;
    while (blocks < digests.length && this.#has(address, digests[blocks]!)) {
      blocks += 1;
    }
    return blocks * TOKENS_OF_A_BLOCK;
  }

  #has(address: string, digest: string): boolean {
    return this.#holders.peek(digest)?.has(address) ?? false;
  }

  #add(address: string, digest: string): void {
    const holders = this.#holders.get(digest) ?? new Set<string>();
    holders.add(address);
    this.#holders.set(digest, holders);
  }
}
