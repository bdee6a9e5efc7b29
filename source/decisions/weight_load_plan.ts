/** A model at an engine. */
export interface LoadableModel {
  /** Version that the engine has loaded. */
  readonly version: number;
  /** Version that the engine is loading; undefined when it is not loading the model. */
  readonly loadingVersion: number | undefined;
}

/** The state of an engine that load planning depends on. */
export interface LoadableEngine {
  readonly identifier: string;
  readonly slots: number;
  /** The models that the engine serves, by name. */
  readonly models: ReadonlyMap<string, LoadableModel>;
  /** Whether the engine can accept a load order now. */
  readonly isAvailable: boolean;
  /** Number of requests known to be running on the engine. */
  readonly runningRequests: number;
}

/** What trainers want of a model. */
export interface ModelDemand {
  readonly model: string;
  /** The newest version that its trainer has named. */
  readonly version: number;
  /** Oldest version that the newest open step allows; 0 without an open step. */
  readonly minimumVersion: number;
  /** Number of samples in the newest open step; 0 without one. */
  readonly samples: number;
}

/** An engine that should load a model's newest version. */
export interface PlannedLoad {
  readonly engine: string;
  readonly model: string;
}

/** The models and the limit on their loads. */
export interface LoadPlanOptions {
  /** The models of which a version was named. */
  readonly demands: ReadonlyArray<ModelDemand>;
  /** Number of models that share the engines. */
  readonly modelCount: number;
  /** Maximum number of load orders that may be sent now. */
  readonly maximumLoads: number;
}

interface Candidate {
  readonly demand: ModelDemand;
  readonly engine: LoadableEngine;
  /**
   * Below 1, the share of the engines that the open step needs and has; from 1 on, the same for the
   * engines that should have the newest version.
   */
  readonly supply: number;
}

/**
 * Chooses the engines that load the newest versions of models, in the order in which they should.
 *
 * Load pattern: trainers that wait for the same engines or the same store name versions at the same
 * moment, and a trainer that has fallen behind names two within a second; its next step then finds
 * few engines or none with a version that it allows. Only a few engines may load at once. The model
 * whose open step has the smallest share of the engines that it needs loads first, one engine at a
 * time, so that the longest texts of each step can start.
 *
 * A step may use the named version and the one before, so engines that have neither load the newest
 * version first. Engines with the previous version keep running the current step without
 * interruption. Without need, a model's newest version goes to an equal share of the engines for each
 * model, and to half of the engines at most; an open step needs twice that at most.
 * @param engines - The engines of the service.
 * @param options - The models and the limit.
 * @example
 * ```ts
 * planWeightLoads(engines, {
 *   demands: [{ model: "m", version: 3, minimumVersion: 2, samples: 32 }],
 *   modelCount: 1,
 *   maximumLoads: 2,
 * });
 * ```
 */
export function planWeightLoads(
  engines: ReadonlyArray<LoadableEngine>,
  { demands, modelCount, maximumLoads }: LoadPlanOptions,
): ReadonlyArray<PlannedLoad> {
  const loads: PlannedLoad[] = [];
  let current = engines;
  while (loads.length < maximumLoads) {
    const [first] = demands
      .flatMap((demand) => findCandidate(current, demand, modelCount))
      .sort((left, right) => left.supply - right.supply);
    if (first === undefined) break;
    const { engine, demand } = first;
    loads.push({ engine: engine.identifier, model: demand.model });
    current = current.map((each) =>
      each === engine ? startLoad(each, demand) : each
    );
  }
  return loads;
}

function startLoad(
  engine: LoadableEngine,
  { model, version }: ModelDemand,
): LoadableEngine {
  const loaded = engine.models.get(model)?.version ?? 0;
  return {
    ...engine,
    isAvailable: false,
    models: new Map([
      ...engine.models,
      [model, { version: loaded, loadingVersion: version }],
    ]),
  };
}

// Returns the next engine that should load the model; none when enough have or load its version.
function findCandidate(
  engines: ReadonlyArray<LoadableEngine>,
  demand: ModelDemand,
  modelCount: number,
): ReadonlyArray<Candidate> {
  const { version, minimumVersion } = demand;
  const serving = engines.filter(({ models }) => models.has(demand.model));
  const share = Math.floor(serving.length / Math.max(1, modelCount));
  const target = Math.max(1, Math.min(share, Math.ceil(serving.length / 2)));
  const needed = Math.min(2 * target, countNeeded(serving, demand));
  const usable = countFrom(serving, demand, minimumVersion);
  if (usable < needed) {
    const engine = findLeastLoaded(
      serving,
      demand,
      (loaded) => loaded < minimumVersion,
    );
    if (engine === undefined) return [];
    return [{ demand, engine, supply: usable / needed }];
  }
  const upToDate = countFrom(serving, demand, version);
  if (upToDate >= target) return [];
  const engine =
    findLeastLoaded(serving, demand, (loaded) => loaded < version - 1) ??
      findSpare(serving, demand);
  if (engine === undefined) return [];
  return [{ demand, engine, supply: 1 + upToDate / target }];
}

// Returns the number of engines whose slots the samples of the newest open step fill.
function countNeeded(
  serving: ReadonlyArray<LoadableEngine>,
  { samples }: ModelDemand,
): number {
  const slots = serving.reduce((sum, each) => sum + each.slots, 0);
  if (slots === 0) return 0;
  return Math.min(
    serving.length,
    Math.ceil(samples * serving.length / slots),
  );
}

function countFrom(
  serving: ReadonlyArray<LoadableEngine>,
  { model }: ModelDemand,
  version: number,
): number {
  return serving.filter(({ models }) => {
    const state = models.get(model);
    return Math.max(state?.version ?? 0, state?.loadingVersion ?? 0) >= version;
  }).length;
}

// Returns an engine with the previous version. At least one engine, unless it is the only one, keeps
// serving the current step.
function findSpare(
  serving: ReadonlyArray<LoadableEngine>,
  demand: ModelDemand,
): LoadableEngine | undefined {
  const usable = serving.filter(({ models }) => {
    const state = models.get(demand.model);
    return state !== undefined && state.loadingVersion === undefined &&
      state.version >= demand.version - 1;
  });
  if (serving.length > 1 && usable.length < 2) return undefined;
  return findLeastLoaded(
    serving,
    demand,
    (loaded) => loaded === demand.version - 1,
  );
}

function findLeastLoaded(
  serving: ReadonlyArray<LoadableEngine>,
  { model }: ModelDemand,
  isWanted: (version: number) => boolean,
): LoadableEngine | undefined {
  const version = ({ models }: LoadableEngine): number =>
    models.get(model)?.version ?? 0;
  const [first] = serving
    .filter((engine) => engine.isAvailable && isWanted(version(engine)))
    .sort((left, right) =>
      left.runningRequests - right.runningRequests ||
      version(left) - version(right) ||
      (left.identifier < right.identifier ? -1 : 1)
    );
  return first;
}
