import { createHash, randomBytes, timingSafeEqual } from "node:crypto";

const IDENTIFIER_BYTES = 8;
const SECRET_BYTES = 32;
const KEY_PATTERN = /^sp_([0-9a-f]{16})_([0-9a-f]{64})$/;
const KEY_IN_TEXT_PATTERN = /sp_[0-9a-f]{16}_[0-9a-f]{64}/i;
const IDENTIFIER_PATTERN = /^[0-9a-f]{16}$/;

/** Length of every key in characters. */
export const KEY_CHARACTERS = 84;

/** The parts of a parsed key. */
export interface ParsedKey {
  readonly identifier: string;
  readonly secret: string;
}

/** A new key with the parts that are stored. */
export interface GeneratedKey {
  /** The whole key, which is returned to its owner and not stored. */
  readonly key: string;
  readonly identifier: string;
  /** SHA-256 of the secret, in hexadecimal. */
  readonly secretDigest: string;
}

/**
 * Parses a key; returns undefined if the text does not have the form of a key.
 * @param text - The text that a caller sent as its key.
 * @example
 * ```ts
 * const parsed = parseKey(text);
 * if (parsed === undefined) return refuse("keyUnknown");
 * ```
 */
export function parseKey(text: string): ParsedKey | undefined {
  const match = KEY_PATTERN.exec(text);
  if (match === null) return undefined;
  return { identifier: match[1] ?? "", secret: match[2] ?? "" };
}

/**
 * Generates a key with the operating system's random number generator.
 * @example
 * ```ts
 * const { key, identifier, secretDigest } = generateKey();
 * ```
 */
export function generateKey(): GeneratedKey {
  const identifier = randomBytes(IDENTIFIER_BYTES).toString("hex");
  const secret = randomBytes(SECRET_BYTES).toString("hex");
  return {
    key: `sp_${identifier}_${secret}`,
    identifier,
    secretDigest: digestSecret(secret),
  };
}

/**
 * Returns the SHA-256 of a secret, in hexadecimal.
 * @param secret - The secret part of a key.
 * @example
 * ```ts
 * const digest = digestSecret(parsed.secret);
 * ```
 */
export function digestSecret(secret: string): string {
  return createHash("sha256").update(secret).digest("hex");
}

/**
 * Compares a secret with a stored digest in constant time.
 * @param secret - The secret part of the caller's key.
 * @param digest - The stored SHA-256, in hexadecimal.
 * @example
 * ```ts
 * if (!matchesDigest(parsed.secret, record.secretDigest)) return refuse("keyUnknown");
 * ```
 */
export function matchesDigest(secret: string, digest: string): boolean {
  const shown = createHash("sha256").update(secret).digest();
  const stored = Buffer.from(digest, "hex");
  if (stored.length !== shown.length) return false;
  return timingSafeEqual(shown, stored);
}

/**
 * Returns whether a text has the form of a key's identifier.
 * @param text - The text.
 * @example
 * ```ts
 * if (!isKeyIdentifier(identifier)) return { kind: "unknownKey" };
 * ```
 */
export function isKeyIdentifier(text: string): boolean {
  return IDENTIFIER_PATTERN.test(text);
}

/**
 * Returns whether a text contains a string that has the form of a key.
 * @param text - The text, such as a header's value.
 * @example
 * ```ts
 * if (containsKey(prompt)) return refuse("invalidRequest");
 * ```
 */
export function containsKey(text: string): boolean {
  return KEY_IN_TEXT_PATTERN.test(text);
}
