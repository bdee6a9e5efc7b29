import type { Clock } from "../utilities/clock.ts";
import { ENDED } from "../utilities/ended.ts";
import type { ExchangeAnswer } from "./http_exchange.ts";

const MAXIMUM_TEXT_BYTES = 4 * 1024 * 1024;

/** Time limit for reading a body, which a faulty server may send without end. */
export interface ReadingLimit {
  readonly clock: Clock;
  readonly milliseconds: number;
}

/**
 * Reads the complete body of an answer as text.
 * @param answer - Answer whose body was not read yet.
 * @param limit - Time limit; none if absent.
 * @returns The text; undefined when the body is incomplete, late or larger than 4 MiB.
 * @example
 * ```ts
 * const text = await readText(answer, { clock, milliseconds: 1000 });
 * ```
 */
export async function readText(
  answer: Pick<ExchangeAnswer, "body" | "abandon">,
  limit?: ReadingLimit,
): Promise<string | undefined> {
  const finished = new AbortController();
  if (limit !== undefined) {
    void abandonLate(answer, { ...limit, finished: finished.signal });
  }
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
    finished.abort(ENDED);
    answer.abandon();
  }
  return Buffer.concat(chunks).toString("utf8");
}

async function abandonLate(
  answer: Pick<ExchangeAnswer, "abandon">,
  { clock, milliseconds, finished }: ReadingLimit & {
    readonly finished: AbortSignal;
  },
): Promise<void> {
  await clock.sleep(milliseconds, finished);
  if (!finished.aborted) answer.abandon();
}
