import type { Configuration } from "./configuration.ts";

/**
 * Whether a route of a service requires a single weight version for each text, so that its engines
 * finish their running texts before they load weights.
 * @param configuration - The configuration.
 * @param service - Name of the service.
 * @example
 * ```ts
 * const runs = needsSingleVersion(configuration, "engines") ? "finish" : "continue";
 * ```
 */
export function needsSingleVersion(
  configuration: Configuration,
  service: string,
): boolean {
  return configuration.routes.some((route) =>
    route.isSingleVersion &&
    route.services.some((share) => share.service === service)
  );
}
