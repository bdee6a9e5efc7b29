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

/** The engines of a model while loads are planned. */
interface ModelSupply {
  readonly demand: ModelDemand;
  /** Number of engines that should have the newest version. */
  readonly target: number;
  /** Number of engines that the newest open step needs. */
  readonly needed: number;
  /** Number of engines that have or load a version that the open step allows. */
  usable: number;
  /** Number of engines that have or load the newest version. */
  upToDate: number;
  /** Number of engines that have the newest version or the one before and load none. */
  serving: number;
  /** The engines that serve the model. */
  readonly engines: ReadonlyArray<LoadableEngine>;
  /** Engines that could load the newest version; undefined until one is looked for. */
  candidates: LoadCandidates | undefined;
}

/** Available engines, the best ones last. */
interface LoadCandidates {
  /** Engines without a version that the open step allows. */
  readonly unusable: LoadableEngine[];
  /** Engines with a version older than the one before the newest. */
  readonly outdated: LoadableEngine[];
  /** Engines with the version before the newest. */
  readonly previous: LoadableEngine[];
}

interface Candidate {
  readonly model: ModelSupply;
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
  const taken = new Set<LoadableEngine>();
  const models = demands.map((demand) =>
    toModelSupply(engines, demand, modelCount)
  );
  while (loads.length < maximumLoads) {
    const first = findLeastSupplied(models, taken);
    if (first === undefined) break;
    const { engine, model } = first;
    loads.push({ engine: engine.identifier, model: model.demand.model });
    taken.add(engine);
    recordLoad(model, engine);
  }
  return loads;
}

function toModelSupply(
  engines: ReadonlyArray<LoadableEngine>,
  demand: ModelDemand,
  modelCount: number,
): ModelSupply {
  const { model, version, minimumVersion } = demand;
  const serving = engines.filter(({ models }) => models.has(model));
  const share = Math.floor(serving.length / Math.max(1, modelCount));
  const target = Math.max(1, Math.min(share, Math.ceil(serving.length / 2)));
  return {
    demand,
    target,
    needed: Math.min(2 * target, countNeeded(serving, demand)),
    usable: countFrom(serving, model, minimumVersion),
    upToDate: countFrom(serving, model, version),
    serving: serving.filter(({ models }) => {
      const state = models.get(model);
      return state !== undefined && state.loadingVersion === undefined &&
        state.version >= version - 1;
    }).length,
    engines: serving,
    candidates: undefined,
  };
}

function findCandidates(
  { engines, demand }: ModelSupply,
): LoadCandidates {
  const { model, version, minimumVersion } = demand;
  const available = engines.filter(({ isAvailable }) => isAvailable)
    .sort((left, right) => comparePreference(right, left, model));
  return {
    unusable: available.filter((engine) =>
      getVersion(engine, model) < minimumVersion
    ),
    outdated: available.filter((engine) =>
      getVersion(engine, model) < version - 1
    ),
    previous: available.filter((engine) =>
      getVersion(engine, model) === version - 1
    ),
  };
}

function recordLoad(model: ModelSupply, engine: LoadableEngine): void {
  const { demand } = model;
  const version = getVersion(engine, demand.model);
  if (version < demand.minimumVersion) model.usable += 1;
  if (version >= demand.version - 1) model.serving -= 1;
  model.upToDate += 1;
}

function findLeastSupplied(
  models: ReadonlyArray<ModelSupply>,
  taken: ReadonlySet<LoadableEngine>,
): Candidate | undefined {
  let first: Candidate | undefined;
  for (const model of models) {
    const candidate = findCandidate(model, taken);
    if (candidate === undefined) continue;
    if (first === undefined || candidate.supply < first.supply) {
      first = candidate;
    }
  }
  return first;
}

// Returns the next engine that should load the model; undefined when enough have or load its
// version.
function findCandidate(
  model: ModelSupply,
  taken: ReadonlySet<LoadableEngine>,
): Candidate | undefined {
  const { needed, usable, target, upToDate } = model;
  const isShort = usable < needed;
  if (!isShort && upToDate >= target) return undefined;
  model.candidates ??= findCandidates(model);
  const { unusable, outdated, previous } = model.candidates;
  const engine = isShort
    ? findFree(unusable, taken)
    : findFree(outdated, taken) ??
      (isLastServing(model) ? undefined : findFree(previous, taken));
  if (engine === undefined) return undefined;
  return {
    model,
    engine,
    supply: isShort ? usable / needed : 1 + upToDate / target,
  };
}

// Whether only one of several engines serves the current step; it keeps the previous version.
function isLastServing({ serving, engines }: ModelSupply): boolean {
  return engines.length > 1 && serving < 2;
}

function findFree(
  engines: LoadableEngine[],
  taken: ReadonlySet<LoadableEngine>,
): LoadableEngine | undefined {
  for (;;) {
    const engine = engines.at(-1);
    if (engine === undefined || !taken.has(engine)) return engine;
    engines.pop();
  }
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
  model: string,
  version: number,
): number {
  return serving.filter(({ models }) => {
    const state = models.get(model);
    return Math.max(state?.version ?? 0, state?.loadingVersion ?? 0) >= version;
  }).length;
}

function getVersion({ models }: LoadableEngine, model: string): number {
  return models.get(model)?.version ?? 0;
}

function comparePreference(
  left: LoadableEngine,
  right: LoadableEngine,
  model: string,
): number {
  return left.runningRequests - right.runningRequests ||
    getVersion(left, model) - getVersion(right, model) ||
    (left.identifier < right.identifier ? -1 : 1);
}
