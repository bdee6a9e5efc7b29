import xxhash from "xxhash-wasm";

const BLOCK_CHARACTERS = 64;
const MAXIMUM_BLOCKS = 64;

const { h64ToString } = await xxhash();

/**
 * Computes the digests by which an engine identifies the cached prefixes of a prompt.
 *
 * Each digest covers the salt and all blocks up to its own, so equal prompts of two
 * organisations have no digest in common.
 * @param salt - Cache salt of the organisation.
 * @param prompt - Prompt to split into blocks.
 * @returns One digest for each of the first 64 complete blocks, shortest prefix first.
 * @example
 * ```ts
 * const digests = digestPrefixes("school-3", prompt);
 * ```
 */
export function digestPrefixes(
  salt: string,
  prompt: string,
): ReadonlyArray<string> {
  const blockCount = Math.floor(prompt.length / BLOCK_CHARACTERS);
  const digests: string[] = [];
  let previous = h64ToString(salt);
  for (
    let block = 0;
    block < Math.min(blockCount, MAXIMUM_BLOCKS);
    block += 1
  ) {
    const start = block * BLOCK_CHARACTERS;
    const text = prompt.slice(start, start + BLOCK_CHARACTERS);
    previous = h64ToString(`${previous}${text}`);
    digests.push(previous);
  }
  return digests;
}

/** Number of tokens in one block, at about four characters per token. */
export const TOKENS_PER_BLOCK = BLOCK_CHARACTERS / 4;

/**
 * Estimates the number of tokens in a prompt.
 * @param prompt - Prompt, of about four characters per token.
 * @example
 * ```ts
 * estimatePromptTokens("12345"); // 2
 * ```
 */
export function estimatePromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / 4);
}
