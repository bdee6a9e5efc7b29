import { LRUCache } from "lru-cache";
import type { KeyRecord } from "../../generated/snipepath/v1/records_pb.ts";

const MAXIMUM_RECORDS = 50_000;
const MAXIMUM_WITHDRAWN = 100_000;
const MAXIMUM_UNKNOWN = 10_000;
const UNKNOWN_LIFETIME_MILLISECONDS = 5000;

/** The cached state of an identifier. */
export type CachedKey =
  | { readonly kind: "known"; readonly record: KeyRecord }
  | { readonly kind: "withdrawn" }
  /** The table had no such key when it was last read, at most UNKNOWN_LIFETIME_MILLISECONDS ago. */
  | { readonly kind: "unknown" }
  /** Nothing is cached about the identifier. */
  | { readonly kind: "missing" };

/** Caches key records, withdrawn identifiers and unknown identifiers, each up to a maximum number. */
export class KeyCache {
  readonly #records = new LRUCache<string, KeyRecord>({ max: MAXIMUM_RECORDS });
  readonly #withdrawn = new LRUCache<string, true>({ max: MAXIMUM_WITHDRAWN });
  readonly #unknown = new LRUCache<string, number>({ max: MAXIMUM_UNKNOWN });

  /**
   * Looks up an identifier.
   * @param identifier - The key's identifier.
   * @param now - Monotonic time in milliseconds.
   */
  find(identifier: string, now: number): CachedKey {
    if (this.#withdrawn.has(identifier)) return { kind: "withdrawn" };
    const record = this.#records.get(identifier);
    if (record !== undefined) return { kind: "known", record };
    const unknownUntil = this.#unknown.get(identifier) ?? 0;
    return { kind: now < unknownUntil ? "unknown" : "missing" };
  }

  /** Stores a record that was read from the table; a key that is already marked as withdrawn stays withdrawn. */
  store(record: KeyRecord): void {
    this.#unknown.delete(record.keyIdentifier);
    this.#records.set(record.keyIdentifier, record);
  }

  /** Records for UNKNOWN_LIFETIME_MILLISECONDS that the table has no such key. */
  storeUnknown(identifier: string, now: number): void {
    this.#unknown.set(identifier, now + UNKNOWN_LIFETIME_MILLISECONDS);
  }

  /**
   * Marks an identifier as withdrawn, until MAXIMUM_WITHDRAWN later ones displace it; returns false
   * if it is already marked.
   */
  markWithdrawn(identifier: string): boolean {
    if (this.#withdrawn.has(identifier)) return false;
    this.#withdrawn.set(identifier, true);
    this.#records.delete(identifier);
    return true;
  }
}
