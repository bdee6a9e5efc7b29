import { LRUCache } from "lru-cache";
import type { KeyRecord } from "../../generated/snipepath/v1/records_pb.ts";

const MAXIMUM_RECORDS = 50_000;
const MAXIMUM_WITHDRAWN = 100_000;
const MAXIMUM_UNKNOWN = 10_000;
const UNKNOWN_KEEP_MILLISECONDS = 5000;

/** What the cache says of an identifier. */
export type CachedKey =
  | { readonly kind: "known"; readonly record: KeyRecord }
  | { readonly kind: "withdrawn" }
  /** The table had no such key a moment ago. */
  | { readonly kind: "unknown" }
  | { readonly kind: "missing" };

/** Bounded memory of keys, of withdrawn ones, and of identifiers that don't exist. */
export class KeyCache {
  readonly #records = new LRUCache<string, KeyRecord>({ max: MAXIMUM_RECORDS });
  readonly #withdrawn = new LRUCache<string, true>({ max: MAXIMUM_WITHDRAWN });
  readonly #unknown = new LRUCache<string, number>({ max: MAXIMUM_UNKNOWN });

  /**
   * Looks an identifier up.
   * @param now - Monotonic time in milliseconds.
   */
  find(identifier: string, now: number): CachedKey {
    if (this.#withdrawn.has(identifier)) return { kind: "withdrawn" };
    const record = this.#records.get(identifier);
    if (record !== undefined) return { kind: "known", record };
    const unknownUntil = this.#unknown.get(identifier) ?? 0;
    return { kind: now < unknownUntil ? "unknown" : "missing" };
  }

  /** Keeps a record read from the table; a withdrawal that is known already stays. */
  keep(record: KeyRecord): void {
    this.#unknown.delete(record.keyIdentifier);
    this.#records.set(record.keyIdentifier, record);
  }

  /** Keeps for a short time that the table has no such key. */
  keepUnknown(identifier: string, now: number): void {
    this.#unknown.set(identifier, now + UNKNOWN_KEEP_MILLISECONDS);
  }

  /** Marks an identifier as withdrawn for good; returns false when it was before. */
  markWithdrawn(identifier: string): boolean {
    if (this.#withdrawn.has(identifier)) return false;
    this.#withdrawn.set(identifier, true);
    this.#records.delete(identifier);
    return true;
  }
}
