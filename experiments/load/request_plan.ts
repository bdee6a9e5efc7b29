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
  /**
   * Period in which the stream sends, in milliseconds from the start of the run; undefined for the
   * whole run.
   */
  readonly active?: { readonly from: number; readonly to: number };
}

/** Request with its scheduled time. */
export interface PlannedRequest {
  readonly stream: RequestStream;
  /** Scheduled time of sending, in milliseconds from the start of the run. */
  readonly scheduledMilliseconds: number;
  /** Number of the request in its stream, from 0. */
  readonly requestNumber: number;
  /** Index of the prompt among the prompts of the stream. */
  readonly promptIndex: number;
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
  return plans.sort((left, right) =>
    left.scheduledMilliseconds - right.scheduledMilliseconds
  );
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
  const meanGapMilliseconds = 1000 / stream.requestsPerSecond;
  let scheduledMilliseconds = from;
  for (let requestNumber = 0;; requestNumber += 1) {
    scheduledMilliseconds += -Math.log(1 - random.next()) * meanGapMilliseconds;
    if (scheduledMilliseconds >= to) return planned;
    planned.push({
      stream,
      scheduledMilliseconds,
      requestNumber,
      promptIndex: random.nextBelow(stream.prompts),
    });
  }
}
