/** The state of an engine that load planning depends on. */
export interface LoadableEngine {
  readonly identifier: string;
  /**
   * Version of the model that the engine has loaded; undefined when it does not serve the model.
   */
  readonly version: number | undefined;
  /**
   * Version of the model that the engine is loading; undefined when it is not loading the model.
   */
  readonly loadingVersion: number | undefined;
  /** Whether the engine can accept a load order now. */
  readonly isAvailable: boolean;
  /** Number of requests known to be running on the engine. */
  readonly runningRequests: number;
}

/** The target version of a model and the limits on its loads. */
export interface LoadPlanOptions {
  /** The newest version that a trainer has named. */
  readonly version: number;
  /** Number of models that share the engines. */
  readonly modelCount: number;
  /** Maximum number of load orders that may be sent now. */
  readonly maximumLoads: number;
}

/**
 * Chooses the engines that load a model's newest version.
 *
 * A step may use the named version and the previous one, so engines that have neither load the
 * newest version first. Engines with the previous version keep running the current step without
 * interruption, and the next step finds engines that have already loaded the newest version. The
 * number of engines that get a model's newest version is limited to an equal share of the engines
 * for each model, and to half of the engines.
 * @param engines - The engines of the service.
 * @param options - The target version and the limits.
 * @returns Identifiers of the engines that should load the version, in order of preference.
 */
export function planWeightLoads(
  engines: ReadonlyArray<LoadableEngine>,
  options: LoadPlanOptions,
): ReadonlyArray<string> {
  const { version } = options;
  const serving = engines.filter((engine) => engine.version !== undefined);
  const share = Math.floor(serving.length / Math.max(1, options.modelCount));
  const target = Math.max(1, Math.min(share, Math.ceil(serving.length / 2)));
  const upToDate =
    serving.filter((engine) =>
      Math.max(engine.version ?? 0, engine.loadingVersion ?? 0) >= version
    ).length;
  const usable =
    serving.filter((engine) => (engine.version ?? 0) >= version - 1)
      .length;
  const missing = Math.min(target - upToDate, options.maximumLoads);
  const outdated = serving
    .filter((engine) =>
      engine.isAvailable && (engine.version ?? 0) < version - 1
    )
    .sort(compareLoad);
  const chosen = outdated.slice(0, Math.max(0, missing));
  if (chosen.length >= missing) return chosen.map(toIdentifier);
  // There are too few outdated engines, so engines with the previous version load the newest one
  // too. At least one engine, unless it is the only one, keeps serving the current step.
  const previous = serving
    .filter((engine) => engine.isAvailable && engine.version === version - 1)
    .sort(compareLoad);
  const spare = serving.length === 1 ? 1 : usable - 1;
  const additional = previous.slice(
    0,
    Math.min(missing - chosen.length, spare),
  );
  return [...chosen, ...additional].map(toIdentifier);
}

function compareLoad(left: LoadableEngine, right: LoadableEngine): number {
  return left.runningRequests - right.runningRequests ||
    (left.version ?? 0) - (right.version ?? 0) ||
    (left.identifier < right.identifier ? -1 : 1);
}

function toIdentifier({ identifier }: LoadableEngine): string {
  return identifier;
}
