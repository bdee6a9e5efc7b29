import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

const SHORTEST_SHARE = 0.25;

/** Where a token stands and what made it. */
export interface TokenOrigin {
  readonly seed: number;
  readonly position: number;
  readonly weightVersion: number;
}

/**
 * Returns the token that a weight version generates at a position. Every engine generates the same.
 * @param prompt - The prompt.
 * @param origin - Seed, position and weight version.
 * @example
 * ```ts
 * generateToken("one two", { seed: 1, position: 0, weightVersion: 7 });
 * ```
 */
export function generateToken(prompt: string, origin: TokenOrigin): string {
  const { seed, position, weightVersion } = origin;
  const digest = h32(`${prompt}\n${position}\n${weightVersion}`, seed);
  return `${position}:${digest.toString(36)} `;
}

/** What a whole text is made of. */
export interface TextOrigin {
  readonly seed: number;
  readonly tokens: number;
  readonly weightVersion: number;
}

/**
 * Returns the whole text of a prompt under one weight version, for checks.
 * @param prompt - The prompt.
 * @param origin - Seed, number of tokens and weight version.
 * @example
 * ```ts
 * generateText("one two", { seed: 1, tokens: 3, weightVersion: 7 });
 * ```
 */
export function generateText(prompt: string, origin: TextOrigin): string {
  const { seed, tokens, weightVersion } = origin;
  return Array.from(
    { length: tokens },
    (_, position) => generateToken(prompt, { seed, position, weightVersion }),
  ).join("");
}

/**
 * Returns the whole text of a prompt that several weight versions made in turn, for checks.
 * @param prompt - The prompt.
 * @param origin - Seed, and the tokens of each version in their order.
 * @example
 * ```ts
 * generateStretches("one two", { seed: 1, stretches: [{ weightVersion: 7, tokens: 3 }] });
 * ```
 */
export function generateStretches(
  prompt: string,
  origin: {
    readonly seed: number;
    readonly stretches: ReadonlyArray<
      { readonly weightVersion: number; readonly tokens: number }
    >;
  },
): string {
  const versions = origin.stretches.flatMap(({ weightVersion, tokens }) =>
    Array.from({ length: tokens }, () => weightVersion)
  );
  const { seed } = origin;
  return versions
    .map((weightVersion, position) =>
      generateToken(prompt, { seed, position, weightVersion })
    )
    .join("");
}

/**
 * Counts the tokens of a generated text.
 * @param text - A text as engines generate it.
 * @example
 * ```ts
 * countTokens("0:a 1:b "); // 2
 * ```
 */
export function countTokens(text: string): number {
  return text.split(" ").length - 1;
}

/**
 * Returns the length at which a prompt's text stops by itself.
 * @param prompt - The prompt.
 * @param maximumTokens - The length at which it is cut.
 * @example
 * ```ts
 * const length = naturalLength("one two", 64);
 * ```
 */
export function naturalLength(prompt: string, maximumTokens: number): number {
  const share = h32(prompt) / 0x1_0000_0000;
  const kept = SHORTEST_SHARE + (1 - SHORTEST_SHARE) * share;
  return Math.max(1, Math.floor(maximumTokens * kept));
}
