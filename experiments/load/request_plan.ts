import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";

/** Stream of requests of one organisation. */
export interface RequestStream {
  readonly organisation: string;
  readonly kind: "completion" | "status" | "order";
  readonly classOfWork: string;
  readonly requestsPerSecond: number;
  readonly tokens: number;
  /** Number of different prompts; with few of them, prefixes repeat. */
  readonly prompts: number;
  /** Index of the only node to use; undefined to use the nodes of the address book. */
  readonly onlyNode?: number;
  /** Period in which the stream sends, in milliseconds from the start; undefined for the whole run. */
  readonly active?: { readonly from: number; readonly to: number };
}

/** Request with its scheduled time. */
export interface PlannedRequest {
  readonly stream: RequestStream;
  /** Milliseconds from the start. */
  readonly at: number;
  readonly number: number;
  readonly prompt: number;
}

/** Options of a request plan. */
export interface RequestPlanOptions {
  readonly seed: number;
  readonly durationMilliseconds: number;
  readonly streams: ReadonlyArray<RequestStream>;
}

/**
 * Plans all requests of a run with exponentially distributed gaps, independently of responses.
 * @param options - Seed, duration and streams.
 * @returns The requests in the order of their scheduled times.
 * @example
 * ```ts
 * const plan = planRequests({ seed: 1, durationMilliseconds: 10_000, streams });
 * ```
 */
export function planRequests(
  options: RequestPlanOptions,
): ReadonlyArray<PlannedRequest> {
  const plans = options.streams.flatMap((stream, index) =>
    planStream(stream, {
      random: createRandomSource(options.seed * 1000 + index),
      durationMilliseconds: options.durationMilliseconds,
    })
  );
  return plans.sort((left, right) => left.at - right.at);
}

function planStream(
  stream: RequestStream,
  options: {
    readonly random: RandomSource;
    readonly durationMilliseconds: number;
  },
): PlannedRequest[] {
  const { random, durationMilliseconds } = options;
  const from = stream.active?.from ?? 0;
  const to = Math.min(
    stream.active?.to ?? durationMilliseconds,
    durationMilliseconds,
  );
  const planned: PlannedRequest[] = [];
  const meanGap = 1000 / stream.requestsPerSecond;
  let at = from;
  for (let number = 0;; number += 1) {
    at += -Math.log(1 - random.next()) * meanGap;
    if (at >= to) return planned;
    planned.push({
      stream,
      at,
      number,
      prompt: random.nextBelow(stream.prompts),
    });
  }
}
