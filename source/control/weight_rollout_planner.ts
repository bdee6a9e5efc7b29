/** One engine as a rollout sees it. */
export interface RolloutEngine {
  readonly address: string;
  readonly failureDomain: string;
  /** Newest version that the engine reports; 0 for none. */
  readonly version: number;
  /** Whether an order to load the wanted version is under way. */
  readonly isLoading: boolean;
  /** Whether the engine may be ordered now; false during the backoff after a failure. */
  readonly isReady: boolean;
  /** Requests that the engine reports to be running. */
  readonly running: number;
}

/** The newest version that one trainer published for the service. */
export interface RolloutGoal {
  readonly trainer: string;
  readonly version: number;
  readonly location: string;
  /** Largest number of versions that the trainer's samples may lag behind. */
  readonly boundVersions: number;
}

/** What bounds a rollout. */
export interface RolloutLimits {
  /** Loads that may be under way at once, as the weight store's rate allows. */
  readonly concurrency: number;
  /** Engines that must keep serving. */
  readonly minimumServing: number;
}

/** Names of the rollout policies. */
export type RolloutPolicyName = "waves" | "allAtOnce" | "oneByOne";

/** Adjusts the limits of a rollout. */
export type RolloutPolicy = (
  limits: RolloutLimits,
  engines: number,
) => RolloutLimits;

/** Rollout policies by name; the last two are baselines. */
export const ROLLOUT_POLICIES: Readonly<
  Record<RolloutPolicyName, RolloutPolicy>
> = {
  waves: (limits) => limits,
  allAtOnce: (_limits, engines) => ({
    concurrency: engines,
    minimumServing: 0,
  }),
  oneByOne: (limits) => ({ ...limits, concurrency: 1 }),
};

/**
 * Finds the version that all engines of a service should run: the newest of all its trainers.
 * @param goals - The newest version of each trainer.
 * @example
 * ```ts
 * findWantedGoal(goals)?.version; // 9
 * ```
 */
export function findWantedGoal(
  goals: ReadonlyArray<RolloutGoal>,
): RolloutGoal | undefined {
  return goals.reduce<RolloutGoal | undefined>(
    (newest, goal) =>
      newest === undefined || goal.version > newest.version ? goal : newest,
    undefined,
  );
}

/**
 * Counts the trainers whose staleness bound an engine's version breaks.
 * @param version - The engine's newest version.
 * @param goals - The newest version of each trainer.
 * @example
 * ```ts
 * countUnserved(7, [{ trainer: "dots", version: 9, location, boundVersions: 1 }]); // 1
 * ```
 */
export function countUnserved(
  version: number,
  goals: ReadonlyArray<RolloutGoal>,
): number {
  return goals
    .filter((goal) => goal.version - version > goal.boundVersions).length;
}

/**
 * Chooses the engines that are ordered to load the wanted version now.
 *
 * Engines that no trainer can use any more come first and cost no capacity. Others are taken only
 * while enough keep serving, the least busy ones first and from the failure domain with the
 * fewest loads under way.
 * @param engines - Reachable engines of the service that are not leaving.
 * @param goals - The newest version of each trainer.
 * @param limits - What bounds the rollout.
 * @returns Addresses, in the order in which to order them.
 * @example
 * ```ts
 * const addresses = planLoads(engines, goals, { concurrency: 2, minimumServing: 4 });
 * ```
 */
export function planLoads(
  engines: ReadonlyArray<RolloutEngine>,
  goals: ReadonlyArray<RolloutGoal>,
  limits: RolloutLimits,
): ReadonlyArray<string> {
  const wanted = findWantedGoal(goals)?.version ?? 0;
  const loading = engines.filter((engine) => engine.isLoading);
  const loadsByDomain = countByDomain(loading);
  const waiting = engines.filter((engine) =>
    engine.version < wanted && !engine.isLoading && engine.isReady
  );
  const chosen: RolloutEngine[] = [];
  let serving =
    engines.filter((engine) => !engine.isLoading && isServing(engine, goals))
      .length;
  while (loading.length + chosen.length < limits.concurrency) {
    const candidates = waiting.filter((engine) => !chosen.includes(engine));
    const next = findNext(candidates, goals, loadsByDomain);
    if (next === undefined) break;
    const underWay = loading.length + chosen.length;
    const costsCapacity = isServing(next, goals);
    const isAllowed = !costsCapacity || serving > limits.minimumServing ||
      underWay === 0;
    if (!isAllowed) break;
    if (costsCapacity) serving -= 1;
    chosen.push(next);
    const { failureDomain } = next;
    loadsByDomain.set(failureDomain, getLoads(loadsByDomain, next) + 1);
  }
  return chosen.map((engine) => engine.address);
}

function isServing(
  engine: RolloutEngine,
  goals: ReadonlyArray<RolloutGoal>,
): boolean {
  return countUnserved(engine.version, goals) < goals.length;
}

function findNext(
  candidates: ReadonlyArray<RolloutEngine>,
  goals: ReadonlyArray<RolloutGoal>,
  loadsByDomain: ReadonlyMap<string, number>,
): RolloutEngine | undefined {
  const [next] = [...candidates].sort((left, right) =>
    countUnserved(right.version, goals) - countUnserved(left.version, goals) ||
    getLoads(loadsByDomain, left) - getLoads(loadsByDomain, right) ||
    left.running - right.running ||
    (left.address < right.address ? -1 : 1)
  );
  return next;
}

function countByDomain(
  engines: ReadonlyArray<RolloutEngine>,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const engine of engines) {
    counts.set(engine.failureDomain, getLoads(counts, engine) + 1);
  }
  return counts;
}

function getLoads(
  counts: ReadonlyMap<string, number>,
  engine: RolloutEngine,
): number {
  return counts.get(engine.failureDomain) ?? 0;
}
