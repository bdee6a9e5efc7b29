import type { ModelDemand } from "../decisions/weight_load_plan.ts";
import { hasManifest, type StepEntry } from "./step_registry.ts";

/** The models of a service and the versions that their trainers have named. */
export interface ModelDemandOptions {
  readonly models: ReadonlyArray<string>;
  readonly namedVersions: ReadonlyMap<string, number>;
}

/**
 * Finds what the open steps want of each model of which a version was named. A step that an earlier
 * version of the program accepted does not state which versions it allows, so it counts as none.
 * @param entries - All known steps.
 * @param options - The models and their named versions.
 * @example
 * ```ts
 * findModelDemands(registry.entries, { models: ["m"], namedVersions: new Map([["m", 3]]) });
 * ```
 */
export function findModelDemands(
  entries: Iterable<StepEntry>,
  { models, namedVersions }: ModelDemandOptions,
): ReadonlyArray<ModelDemand> {
  const newest = new Map<string, ModelDemand>();
  for (const entry of entries) {
    const { model, minimumVersion = 0, total } = entry.manifest;
    if (entry.isEnded || !hasManifest(entry)) continue;
    if (minimumVersion <= (newest.get(model)?.minimumVersion ?? 0)) continue;
    newest.set(model, {
      model,
      version: namedVersions.get(model) ?? 0,
      minimumVersion,
      samples: total,
    });
  }
  return models.flatMap((model) => {
    const version = namedVersions.get(model);
    if (version === undefined) return [];
    return [
      newest.get(model) ?? { model, version, minimumVersion: 0, samples: 0 },
    ];
  });
}
