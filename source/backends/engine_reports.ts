import { isNonNegativeInteger, parseJsonObject } from "./completion_event.ts";
import type { CacheEvent, EngineLoad } from "./engine_client.ts";

/**
 * Parses the load that an engine reports.
 * @param text - JSON text.
 * @returns The load; undefined when a field is absent or of the wrong type.
 * @example
 * ```ts
 * const load = parseEngineLoad(text);
 * ```
 */
export function parseEngineLoad(text: string): EngineLoad | undefined {
  const record = parseJsonObject(text);
  if (record === undefined) return undefined;
  const { start, running, waiting, leaving } = record;
  const cacheFreePermille = record["cache_free_permille"] ?? 1000;
  const tokensPerSecond = record["tokens_per_second"] ?? 0;
  const weightVersions = record["weight_versions"] ?? [];
  if (typeof start !== "string" || typeof leaving !== "boolean") {
    return undefined;
  }
  if (!isNonNegativeInteger(running) || !isNonNegativeInteger(waiting)) {
    return undefined;
  }
  if (
    !isNonNegativeInteger(cacheFreePermille) ||
    !isNonNegativeInteger(tokensPerSecond)
  ) {
    return undefined;
  }
  if (
    !Array.isArray(weightVersions) ||
    !weightVersions.every(isNonNegativeInteger)
  ) {
    return undefined;
  }
  return {
    startIdentity: start,
    running,
    waiting,
    cacheFreePermille,
    weightVersions: weightVersions.toSorted((left, right) => left - right),
    leaving,
    tokensPerSecond,
  };
}

/**
 * Parses cache events.
 * @param text - JSON text.
 * @returns The events; undefined when one is malformed.
 * @example
 * ```ts
 * const events = parseCacheEvents(text);
 * ```
 */
export function parseCacheEvents(
  text: string,
): ReadonlyArray<CacheEvent> | undefined {
  const events = parseJsonObject(text)?.["events"];
  if (!Array.isArray(events)) return undefined;
  const parsed = events.map(toCacheEvent);
  return parsed.every((event) => event !== undefined) ? parsed : undefined;
}

function toCacheEvent(value: unknown): CacheEvent | undefined {
  const { sequence, kind, prefix_digest: prefixDigest } = (value ??
    {}) as Readonly<Record<string, unknown>>;
  if (!isNonNegativeInteger(sequence) || typeof prefixDigest !== "string") {
    return undefined;
  }
  if (kind !== "stored" && kind !== "evicted") return undefined;
  return { sequence, kind, prefixDigest };
}
