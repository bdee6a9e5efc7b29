/** An engine as the planner sees it. */
export interface LoadableEngine {
  readonly identifier: string;
  /** Version of the model that it has; undefined when it does not serve the model. */
  readonly version: number | undefined;
  /** Version of the model that it is loading; undefined when it loads none of it. */
  readonly loading: number | undefined;
  /** Whether it can take an order now. */
  readonly isFree: boolean;
  /** Requests that are known to run there. */
  readonly running: number;
}

/** What a model needs. */
export interface LoadPlanOptions {
  /** The newest version that was named. */
  readonly version: number;
  /** Models that share the engines. */
  readonly models: number;
  /** Orders that may be given now. */
  readonly most: number;
}

/**
 * Chooses the engines that load a model's newest version.
 *
 * A step may use the named version and the one before, so the newest version goes to engines that
 * have neither: the step runs on undisturbed at those with the version before, and the next step
 * finds the newest one loaded. Loads stay within one trainer's equal share of the engines.
 * @param engines - The engines of the service.
 * @param options - The version and the bounds.
 * @returns Identifiers of the engines to be ordered, the best first.
 */
export function planWeightLoads(
  engines: ReadonlyArray<LoadableEngine>,
  options: LoadPlanOptions,
): ReadonlyArray<string> {
  const { version } = options;
  const serving = engines.filter((engine) => engine.version !== undefined);
  const share = Math.floor(serving.length / Math.max(1, options.models));
  const wanted = Math.max(1, Math.min(share, Math.ceil(serving.length / 2)));
  const has =
    serving.filter((engine) =>
      Math.max(engine.version ?? 0, engine.loading ?? 0) >= version
    ).length;
  const usable =
    serving.filter((engine) => (engine.version ?? 0) >= version - 1)
      .length;
  const missing = Math.min(wanted - has, options.most);
  const outdated = serving
    .filter((engine) => engine.isFree && (engine.version ?? 0) < version - 1)
    .sort(compareLoad);
  const chosen = outdated.slice(0, Math.max(0, missing));
  if (chosen.length >= missing) return chosen.map(toIdentifier);
  // Too few are outdated: of those with the version before, at least one stays undisturbed.
  const previous = serving
    .filter((engine) => engine.isFree && engine.version === version - 1)
    .sort(compareLoad);
  const spare = serving.length === 1 ? 1 : usable - 1;
  const more = previous.slice(0, Math.min(missing - chosen.length, spare));
  return [...chosen, ...more].map(toIdentifier);
}

function compareLoad(left: LoadableEngine, right: LoadableEngine): number {
  return left.running - right.running ||
    (left.version ?? 0) - (right.version ?? 0) ||
    (left.identifier < right.identifier ? -1 : 1);
}

function toIdentifier({ identifier }: LoadableEngine): string {
  return identifier;
}
