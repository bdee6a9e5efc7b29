import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

const SHORTEST_SHARE = 0.25;

/**
 * Returns the token that engines generate at a position. Every engine generates the same.
 * @param prompt - The prompt.
 * @param options - Seed and position.
 * @example
 * ```ts
 * generateToken("one two", { seed: 1, position: 0 });
 * ```
 */
export function generateToken(
  prompt: string,
  options: { readonly seed: number; readonly position: number },
): string {
  const digest = h32(`${prompt}\n${options.position}`, options.seed);
  return `${options.position}:${digest.toString(36)} `;
}

/**
 * Returns the whole text of a prompt, for checks.
 * @param prompt - The prompt.
 * @param options - Seed and number of tokens.
 * @example
 * ```ts
 * generateText("one two", { seed: 1, tokens: 3 });
 * ```
 */
export function generateText(
  prompt: string,
  options: { readonly seed: number; readonly tokens: number },
): string {
  const positions = Array.from({ length: options.tokens }, (_, index) => index);
  return positions
    .map((position) => generateToken(prompt, { seed: options.seed, position }))
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
