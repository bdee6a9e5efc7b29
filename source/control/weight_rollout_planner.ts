/** State of one engine as the planner uses it. */
export interface RolloutEngine {
  readonly address: string;
  readonly failureDomain: string;
  /** Newest weight version that the engine has loaded; 0 for none. */
  readonly version: number;
  /** Whether an order to load a version is in progress. */
  readonly isLoading: boolean;
  /** Whether the engine may receive an order now; false during the backoff after a failure. */
  readonly isReady: boolean;
  /** Number of running requests that the engine reports. */
  readonly running: number;
}

/** The newest version that a trainer published for the service. */
export interface RolloutGoal {
  readonly trainer: string;
  readonly version: number;
  readonly location: string;
  /** Maximum number of versions by which the trainer's samples may be stale. */
  readonly boundVersions: number;
}

/** Limits of a rollout. */
export interface RolloutLimits {
  /** Maximum number of concurrent loads, given the throughput of the weight store. */
  readonly concurrency: number;
  /** Minimum number of engines that must keep serving. */
  readonly minimumServing: number;
}

/** Name of a rollout policy. */
export type RolloutPolicyName = "waves" | "allAtOnce" | "oneByOne";

/** Adjusts the limits of a rollout, given the number of engines. */
export type RolloutPolicy = (
  limits: RolloutLimits,
  engines: number,
) => RolloutLimits;

/** Rollout policies by name; the last two are baselines for comparison. */
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
 * Finds the version that all engines of a service should run: the newest of all its trainers' versions.
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
 * Counts the trainers whose staleness bound an engine's version violates.
 * @param version - The engine's newest version.
 * @param goals - The newest version of each trainer.
 * @example
 * ```ts
 * countTrainersBeyondBound(7, [{ trainer: "dots", version: 9, location, boundVersions: 1 }]); // 1
 * ```
 */
export function countTrainersBeyondBound(
  version: number,
  goals: ReadonlyArray<RolloutGoal>,
): number {
  return goals
    .filter((goal) => goal.version - version > goal.boundVersions).length;
}

/**
 * Chooses the engines to order to load the wanted version now.
 *
 * Engines that are too stale for the most trainers come first. A load on an engine that no trainer
 * can use costs no serving capacity; any other engine is chosen only while more engines serve than
 * `minimumServing`, or when no other load is in progress. Ties are broken by the fewest loads in
 * the failure domain, then by the fewest running requests.
 * @param engines - Reachable engines of the service that are not shutting down.
 * @param goals - The newest version of each trainer.
 * @param limits - Limits of the rollout.
 * @returns Addresses of the chosen engines, in the order in which to send the orders.
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
    const next = findNextEngine(candidates, goals, loadsByDomain);
    if (next === undefined) break;
    const inProgress = loading.length + chosen.length;
    const costsCapacity = isServing(next, goals);
    const isAllowed = !costsCapacity || serving > limits.minimumServing ||
      inProgress === 0;
    if (!isAllowed) break;
    if (costsCapacity) serving -= 1;
    chosen.push(next);
    const { failureDomain } = next;
    loadsByDomain.set(failureDomain, getLoadsInDomain(loadsByDomain, next) + 1);
  }
  return chosen.map((engine) => engine.address);
}

function isServing(
  engine: RolloutEngine,
  goals: ReadonlyArray<RolloutGoal>,
): boolean {
  return countTrainersBeyondBound(engine.version, goals) < goals.length;
}

function findNextEngine(
  candidates: ReadonlyArray<RolloutEngine>,
  goals: ReadonlyArray<RolloutGoal>,
  loadsByDomain: ReadonlyMap<string, number>,
): RolloutEngine | undefined {
  const [next] = [...candidates].sort((left, right) =>
    countTrainersBeyondBound(right.version, goals) -
      countTrainersBeyondBound(left.version, goals) ||
    getLoadsInDomain(loadsByDomain, left) -
      getLoadsInDomain(loadsByDomain, right) ||
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
    counts.set(engine.failureDomain, getLoadsInDomain(counts, engine) + 1);
  }
  return counts;
}

function getLoadsInDomain(
  counts: ReadonlyMap<string, number>,
  engine: RolloutEngine,
): number {
  return counts.get(engine.failureDomain) ?? 0;
}
