import type { ReceivedSample } from "../clients/trainer_client.ts";

/** Expected number of samples of a step, and their staleness bound. */
export interface SampleExpectation {
  readonly wanted: number;
  readonly stalenessBound: number;
}

/** Numbers of samples of a step by result. */
export interface SampleCounts {
  readonly delivered: number;
  readonly missing: number;
  readonly duplicated: number;
  readonly stale: number;
}

/**
 * Counts delivered, missing, duplicated and stale samples of a step.
 * @param samples - Samples in the order in which the trainer received them.
 * @param expectation - Expected number of samples, and their staleness bound.
 */
export function countSamples(
  samples: ReadonlyArray<ReceivedSample>,
  expectation: SampleExpectation,
): SampleCounts {
  const indexes = new Set(samples.map((sample) => sample.index));
  const tooOld = samples.filter((sample) =>
    getStaleness(sample) > expectation.stalenessBound
  );
  return {
    delivered: indexes.size,
    missing: expectation.wanted - indexes.size,
    duplicated: samples.length - indexes.size,
    stale: tooOld.length,
  };
}

function getStaleness(sample: ReceivedSample): number {
  const oldest = Math.min(
    ...sample.stretches.map((stretch) => stretch.weightVersion),
  );
  return sample.publishedBeforePull - oldest;
}
