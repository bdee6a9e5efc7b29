/** An engine with what it has loaded. */
export interface AssignableEngine {
  readonly identifier: string;
  /** Loaded versions by model. */
  readonly weightVersions: ReadonlyMap<string, number>;
}

/** A model that needs engines. */
export interface ModelDemand {
  readonly model: string;
  /** Relative need of engines. */
  readonly weight: number;
  /** Version that its engines should have. */
  readonly version: number;
}

/**
 * Gives each engine to one model, by need, moving as few engines as it takes.
 * @param engines - The engines of one service.
 * @param demands - The service's models.
 * @param previous - Model by engine, as assigned before.
 * @returns Model by engine. Each model gets at least one engine where there are enough.
 */
export function assignEngines(
  engines: ReadonlyArray<AssignableEngine>,
  demands: ReadonlyArray<ModelDemand>,
  previous: ReadonlyMap<string, string>,
): ReadonlyMap<string, string> {
  const quotas = toQuotas(engines.length, demands);
  const assigned = new Map<string, string>();
  const counts = new Map<string, number>();
  const take = (engine: AssignableEngine, model: string): void => {
    assigned.set(engine.identifier, model);
    counts.set(model, (counts.get(model) ?? 0) + 1);
  };
  const hasRoom = (model: string): boolean =>
    (counts.get(model) ?? 0) < (quotas.get(model) ?? 0);
  const ordered = [...engines].sort((left, right) =>
    left.identifier < right.identifier ? -1 : 1
  );
  for (const engine of ordered) {
    const model = previous.get(engine.identifier);
    if (model !== undefined && hasRoom(model)) take(engine, model);
  }
  for (const engine of ordered) {
    if (assigned.has(engine.identifier)) continue;
    const model = findClosest(
      engine,
      demands.filter((demand) => hasRoom(demand.model)),
    );
    if (model !== undefined) take(engine, model);
  }
  return assigned;
}

// Largest remainders, with one engine for each model first.
function toQuotas(
  engines: number,
  demands: ReadonlyArray<ModelDemand>,
): ReadonlyMap<string, number> {
  const quotas = new Map(demands.map(({ model }) => [model, 0]));
  const total = demands.reduce((sum, { weight }) => sum + weight, 0);
  for (let given = 0; given < engines; given += 1) {
    let neediest: string | undefined;
    let lowest = Infinity;
    for (const { model, weight } of demands) {
      const has = quotas.get(model) ?? 0;
      const share = total > 0 ? weight / total : 1 / demands.length;
      const level = has === 0 ? -1 + has : has / Math.max(share, 1e-6);
      if (level < lowest) [neediest, lowest] = [model, level];
    }
    if (neediest === undefined) break;
    quotas.set(neediest, (quotas.get(neediest) ?? 0) + 1);
  }
  return quotas;
}

// The model for which the engine is least behind.
function findClosest(
  engine: AssignableEngine,
  demands: ReadonlyArray<ModelDemand>,
): string | undefined {
  let closest: string | undefined;
  let least = Infinity;
  for (const { model, version } of demands) {
    const loaded = engine.weightVersions.get(model);
    if (loaded === undefined) continue;
    const behind = version - loaded;
    if (behind < least) [closest, least] = [model, behind];
  }
  return closest;
}
