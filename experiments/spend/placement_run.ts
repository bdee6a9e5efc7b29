import { createRandomSource } from "../../source/utilities/random_source.ts";

/** Engines of the run. */
export const ENGINES = 6;
const SLOTS = 8;
const CACHE_TOKENS = 16_000;
const TOKENS_PER_SECOND = 100;
const PENDING_CONSIDERED = 64;

/** One request and what it holds while it runs. */
export interface PlacedRequest {
  readonly promptTokens: number;
  readonly generatedTokens: number;
  readonly arrivesAt: number;
}

interface Running {
  readonly request: PlacedRequest;
  readonly startedAt: number;
  readonly endsAt: number;
}

/** Returns the index of the pending request to run next on an engine; all of them fit. */
export type PlacementPolicy = (
  pending: ReadonlyArray<PlacedRequest>,
  engine: ReadonlyArray<Running>,
  now: number,
) => number;

/** All policies of the run. */
export const PLACEMENT_POLICIES: Readonly<Record<string, PlacementPolicy>> = {
  fifo: () => 0,
  bestFit: (pending) =>
    findLeast(pending.map((request) => -peakTokens(request))),
  dominantRemainingResource: (pending, engine, now) =>
    findLeast(
      pending.map((request) => dominantRemaining(request, engine, now)),
    ),
};

/** Times of one run, in seconds. */
export interface PlacementResult {
  readonly makespan: number;
  readonly meanWait: number;
  readonly p99Wait: number;
}

/**
 * Draws requests: short lookups, long samples and long prompts, mixed.
 * @param seed - Seed of the draw.
 * @param options - How many, and how many arrive a second; 0 when all are there at once.
 */
export function drawRequests(
  seed: number,
  options: { readonly count: number; readonly perSecond: number },
): ReadonlyArray<PlacedRequest> {
  const random = createRandomSource(seed);
  const kinds = [[200, 50], [1200, 700], [4000, 60]] as const;
  let at = 0;
  return Array.from({ length: options.count }, () => {
    const [prompt, generated] = kinds[random.below(3)] ?? kinds[0];
    const factor = 0.5 + random.next();
    if (options.perSecond > 0) {
      at += -Math.log(1 - random.next()) / options.perSecond;
    }
    return {
      promptTokens: Math.round(prompt * factor),
      generatedTokens: Math.round(generated * factor),
      arrivesAt: at,
    };
  });
}

/** Runs all requests under one policy. */
export function runPlacement(
  requests: ReadonlyArray<PlacedRequest>,
  policy: PlacementPolicy,
): PlacementResult {
  const engines: Running[][] = Array.from({ length: ENGINES }, () => []);
  const waits: number[] = [];
  let pending: PlacedRequest[] = [];
  let arriving = 0;
  let now = 0;
  while (waits.length < requests.length) {
    while ((requests[arriving]?.arrivesAt ?? Infinity) <= now) {
      pending.push(requests[arriving++] as PlacedRequest);
    }
    for (const engine of engines) {
      pending = fill(engine, pending, { policy, now, waits });
    }
    const nextEnd = Math.min(...engines.flat().map(({ endsAt }) => endsAt));
    now = Math.min(nextEnd, requests[arriving]?.arrivesAt ?? Infinity);
    if (now === Infinity) break;
    for (const engine of engines) {
      const staying = engine.filter(({ endsAt }) => endsAt > now);
      engine.splice(0, engine.length, ...staying);
    }
  }
  const makespan = Math.max(now, ...engines.flat().map(({ endsAt }) => endsAt));
  const sorted = [...waits].sort((a, b) => a - b);
  return {
    makespan,
    meanWait: waits.reduce((sum, wait) => sum + wait, 0) / waits.length,
    p99Wait: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
  };
}

function fill(
  engine: Running[],
  pending: PlacedRequest[],
  run: {
    readonly policy: PlacementPolicy;
    readonly now: number;
    readonly waits: number[];
  },
): PlacedRequest[] {
  let left = pending;
  for (;;) {
    const fitting = left.slice(0, PENDING_CONSIDERED).filter((request) =>
      fits(request, engine)
    );
    const request = fitting[run.policy(fitting, engine, run.now)];
    if (request === undefined) return left;
    const endsAt = run.now + request.generatedTokens / TOKENS_PER_SECOND;
    engine.push({ request, startedAt: run.now, endsAt });
    run.waits.push(run.now - request.arrivesAt);
    left = left.filter((other) => other !== request);
  }
}

function fits(request: PlacedRequest, engine: ReadonlyArray<Running>): boolean {
  const held = engine.reduce(
    (sum, running) => sum + peakTokens(running.request),
    0,
  );
  return engine.length < SLOTS && held + peakTokens(request) <= CACHE_TOKENS;
}

function peakTokens(request: PlacedRequest): number {
  return request.promptTokens + request.generatedTokens;
}

/** Largest share of any resource left on average until the first request ends. */
function dominantRemaining(
  request: PlacedRequest,
  engine: ReadonlyArray<Running>,
  now: number,
): number {
  const endsAt = now + request.generatedTokens / TOKENS_PER_SECOND;
  const all = [...engine, { request, startedAt: now, endsAt }];
  const until = Math.min(...all.map((running) => running.endsAt));
  const tokens = all.reduce((sum, running) => {
    const middle = (now + until) / 2 - running.startedAt;
    return sum + running.request.promptTokens + middle * TOKENS_PER_SECOND;
  }, 0);
  const slotsLeft = 1 - all.length / SLOTS;
  return Math.max(slotsLeft, 1 - tokens / CACHE_TOKENS);
}

function findLeast(values: ReadonlyArray<number>): number {
  return values.indexOf(Math.min(...values));
}
