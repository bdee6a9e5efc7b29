/** Maximum time from its order for which a load is assumed to be in progress; it may be lost. */
export const LOAD_ASSUMPTION_MILLISECONDS = 4000;
/** Duration of a load that is assumed before one was seen. */
const INITIAL_LOAD_MILLISECONDS = 900;
/** Longest duration that is expected, so that a lost order does not leave an engine unused. */
const MAXIMUM_LOAD_MILLISECONDS = 2000;
/** Shorter observations are orders that were learned late, not short loads. */
const MINIMUM_LOAD_MILLISECONDS = 50;
/**
 * Upper bounds of the classes of loads by the share of a service's engines that load at once. Up to
 * about a quarter of them do not slow each other down.
 */
const SHARE_BOUNDS: ReadonlyArray<number> = [0.25, 0.5, 1];
/** Weight of an observation above the expected duration; the error costs refused requests. */
const LONGER_WEIGHT = 0.4;
/** Weight of an observation below the expected duration; the error costs unused time. */
const SHORTER_WEIGHT = 0.2;
/** Pause after the first refused probe; it grows with each further one. */
const PROBE_PAUSE_MILLISECONDS = 60;
const PROBE_PAUSE_GROWTH = 1.6;
const MAXIMUM_PROBE_PAUSE_MILLISECONDS = 250;
/**
 * Share of the expected duration after which an engine is probed while samples wait and no other
 * engine is free. A probe that is refused then costs no more than the wait.
 */
const SCARCE_SHARE = 0.8;
/** Longest pause between two probes while samples wait and no other engine is free. */
const SCARCE_PROBE_PAUSE_MILLISECONDS = 100;

/** A load that a node ordered; times are monotonic, in milliseconds. */
export interface WeightLoad {
  readonly orderedAt: number;
  /**
   * Time at which the load started, as far as known: that of the order, or the end of the runs that
   * the engine finishes first. Infinity while these runs last.
   */
  readonly startsAt: number;
  /** Largest share of the service's engines that loaded at the same time. */
  readonly loadingShare: number;
  /** Number of refused probes, and the time of the last one. */
  readonly refusals: number;
  readonly refusedAt: number;
  /** Whether a probe is in progress. */
  readonly isProbed: boolean;
}

/** Whether an engine gets a sample of the model that it loads. */
export type WeightLoadDecision =
  /** The load is over, or is no longer assumed. */
  | { readonly kind: "open" }
  /** The engine gets one sample, which shows whether the load is over. */
  | { readonly kind: "probe" }
  /** The engine gets none before a time, in monotonic milliseconds. */
  | { readonly kind: "wait"; readonly until: number };

/** The time, and what else is known beside the load. */
export interface WeightLoadWaitOptions {
  /** Monotonic time, in milliseconds. */
  readonly now: number;
  readonly expectedMilliseconds: number;
  /** Whether a sample waits and no other engine is free. */
  readonly isScarce: boolean;
}

/**
 * Decides whether an engine that loads the weights of a model gets a sample of this model.
 *
 * Load pattern: new weights are ordered at up to a third of the engines at once. Until its load is
 * complete, an engine refuses each request of the model that has not started, so that samples sent
 * in the meantime are refused and come back. An order may be lost or take effect seconds later, so
 * one request at a time tests the engine from the expected end of the load on.
 * @param load - The load.
 * @param options - The time and the expected duration of the load.
 * @example
 * ```ts
 * const decision = decideWeightLoadWait(load, {
 *   now,
 *   expectedMilliseconds: 900,
 *   isScarce: false,
 * });
 * ```
 */
export function decideWeightLoadWait(
  load: WeightLoad,
  { now, expectedMilliseconds, isScarce }: WeightLoadWaitOptions,
): WeightLoadDecision {
  const assumedUntil = load.orderedAt + LOAD_ASSUMPTION_MILLISECONDS;
  if (now >= assumedUntil) return { kind: "open" };
  const end = load.startsAt +
    expectedMilliseconds * (isScarce ? SCARCE_SHARE : 1);
  const until = Math.min(
    assumedUntil,
    Math.max(end, load.refusedAt + toPause(load.refusals, isScarce)),
  );
  if (now < until) return { kind: "wait", until };
  return load.isProbed
    ? { kind: "wait", until: assumedUntil }
    : { kind: "probe" };
}

function toPause(refusals: number, isScarce: boolean): number {
  if (refusals === 0) return 0;
  return Math.min(
    PROBE_PAUSE_MILLISECONDS * PROBE_PAUSE_GROWTH ** (refusals - 1),
    isScarce
      ? SCARCE_PROBE_PAUSE_MILLISECONDS
      : MAXIMUM_PROBE_PAUSE_MILLISECONDS,
  );
}

/** The end of a load as a node saw it. */
export interface ObservedLoad {
  readonly loadingShare: number;
  /** Time from the start of the load until the first request that ran, in milliseconds. */
  readonly milliseconds: number;
}

/**
 * Learns how long loads take, by the share of the service's engines that load at once.
 *
 * Load pattern: the same weights are loaded by all engines in a few rounds, some at once. The loads
 * of the first round tell the duration of the next ones.
 * @example
 * ```ts
 * const durations = new WeightLoadDurations();
 * durations.record({ loadingShare: 0.2, milliseconds: 840 });
 * const expected = durations.expect(0.2);
 * ```
 */
export class WeightLoadDurations {
  readonly #expected = SHARE_BOUNDS.map(() => INITIAL_LOAD_MILLISECONDS);

  /** Returns the expected duration of a load, in milliseconds. */
  expect(loadingShare: number): number {
    return this.#expected[toClass(loadingShare)] ?? INITIAL_LOAD_MILLISECONDS;
  }

  /** Records a load whose end was seen. */
  record({ loadingShare, milliseconds }: ObservedLoad): void {
    if (milliseconds < MINIMUM_LOAD_MILLISECONDS) return;
    const expected = this.expect(loadingShare);
    const observed = Math.min(milliseconds, MAXIMUM_LOAD_MILLISECONDS);
    const weight = observed > expected ? LONGER_WEIGHT : SHORTER_WEIGHT;
    this.#expected[toClass(loadingShare)] = expected +
      weight * (observed - expected);
  }
}

function toClass(loadingShare: number): number {
  const found = SHARE_BOUNDS.findIndex((bound) => loadingShare <= bound);
  return found < 0 ? SHARE_BOUNDS.length - 1 : found;
}
