/** Least time without an answer or event after which an engine counts as stalled. */
const MINIMUM_STALL_MILLISECONDS = 350;
/** Number of usual times between events after which an engine counts as stalled. */
const STALL_EVENTS = 7;
/** The same time for an engine that loads weights, which interrupts its runs for about 1 s. */
const LOADING_STALL_MILLISECONDS = 1600;
/**
 * Time in which some engine must have been heard; without it, this node or its network is the more
 * likely cause.
 */
const HEARD_MILLISECONDS = 150;

/** What a node knows of an engine that runs samples; times are monotonic, in milliseconds. */
export interface RunningEngine {
  readonly identifier: string;
  /** Time since which no run of the engine got an answer or event. */
  readonly quietSince: number;
  /** Whether the engine may be loading weights. */
  readonly isLoading: boolean;
}

/** The state of the node that looks for stalled engines; times are monotonic, in milliseconds. */
export interface StallOptions {
  readonly now: number;
  /** Time of the last answer or event of any engine. */
  readonly heardAt: number;
  /** Usual time between two events of a run. */
  readonly usualEventMilliseconds: number;
}

/**
 * Selects the engines that have stopped to answer, so that their samples can go on elsewhere.
 *
 * Load pattern: a few engines are silent by turns, because they crashed, hang or can't be reached,
 * while others produce events many times a second. All runs of a silent engine are quiet at once,
 * which tells it from a slow one, whose runs still get events. When nothing at all is heard, the fault
 * is probably on this side and no engine is blamed.
 * @example
 * ```ts
 * const stalled = selectStalledEngines(engines, { now, heardAt, usualEventMilliseconds: 40 });
 * ```
 */
export function selectStalledEngines(
  engines: ReadonlyArray<RunningEngine>,
  { now, heardAt, usualEventMilliseconds }: StallOptions,
): ReadonlyArray<string> {
  if (now - heardAt > HEARD_MILLISECONDS) return [];
  const limit = Math.max(
    MINIMUM_STALL_MILLISECONDS,
    STALL_EVENTS * usualEventMilliseconds,
  );
  return engines
    .filter(({ quietSince, isLoading }) =>
      now - quietSince >
        (isLoading ? Math.max(limit, LOADING_STALL_MILLISECONDS) : limit)
    )
    .map(({ identifier }) => identifier);
}
