import type { AllowedRegions } from "../decisions/allowed_regions.ts";
import type { SampleUrgency } from "../decisions/sample_queue.ts";

/** The requirements of a sample for an engine. */
export interface EngineRequirements {
  readonly service: string;
  readonly model: string;
  /** Oldest weight version that may be used. */
  readonly minimumVersion: number;
  /** The only weight version that may be used; undefined allows any from `minimumVersion` on. */
  readonly exactVersion: number | undefined;
  /** The only software version that may be used; undefined for a text that has no event yet. */
  readonly softwareVersion: string | undefined;
  /** Regions in which the sample may be processed; any if absent. */
  readonly allowedRegions?: AllowedRegions | undefined;
}

/** A sample that needs an engine. */
export interface EngineRequest {
  readonly requirements: EngineRequirements;
  readonly urgency: SampleUrgency;
  /** Expected number of events that are left. */
  readonly expectedEvents: number;
  /** Expected number of tokens of the prompt and the whole text. */
  readonly expectedTokens: number;
  /** Identifies the part of the prompt that the samples of the group share. */
  readonly prompt: string;
  /** Number of tokens in the shared part of the prompt. */
  readonly promptTokens: number;
  /** Identifier of an engine that is used only if no other is available. */
  readonly avoidedEngine: string | undefined;
  /** Monotonic time, in milliseconds, since which the sample waits; now if absent. */
  readonly waitsSince?: number;
  /** Whether the sample would ask otherwise now, as the configuration has changed; never if absent. */
  readonly isOutdated?: () => boolean;
}

/**
 * Returns a text that is equal for requirements that the same engines meet.
 * @param requirements - The requirements of a sample.
 * @example
 * ```ts
 * toRequirementsKey(requirements); // "engines/m/3///"
 * ```
 */
export function toRequirementsKey(requirements: EngineRequirements): string {
  const { service, model, minimumVersion, exactVersion, softwareVersion } =
    requirements;
  return [
    service,
    model,
    minimumVersion,
    exactVersion ?? "",
    softwareVersion ?? "",
    requirements.allowedRegions?.key ?? "",
  ].join("/");
}
