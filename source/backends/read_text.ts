import type { ExchangeAnswer } from "./http_exchange.ts";

const MAXIMUM_TEXT_BYTES = 4 * 1024 * 1024;

/**
 * Reads the complete body of an answer as text.
 * @param answer - Answer whose body was not read yet.
 * @returns The text; undefined when the body is incomplete or larger than 4 MiB.
 * @example
 * ```ts
 * const text = await readText(answer);
 * ```
 */
export async function readText(
  answer: ExchangeAnswer,
): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  try {
    for await (const chunk of answer.body) {
      receivedBytes += chunk.length;
      if (receivedBytes > MAXIMUM_TEXT_BYTES) return undefined;
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  } finally {
    answer.abandon();
  }
  return Buffer.concat(chunks).toString("utf8");
}
