import { createHash } from "node:crypto";

const DIGEST_CHARACTERS = 12;

/**
 * Returns a short digest by which a report names a key without showing it.
 * @param key - The key.
 * @example
 * ```ts
 * const shown = `key with digest ${digestKey(key)}`;
 * ```
 */
export function digestKey(key: string): string {
  return createHash("sha256").update(key).digest("hex")
    .slice(0, DIGEST_CHARACTERS);
}
