import type { ReceivedSample } from "../clients/trainer_client.ts";

/** What a step's samples are judged by. */
export interface SampleBounds {
  readonly wanted: number;
  readonly stalenessBound: number;
}

/** How many samples of a step were right and wrong. */
export interface SampleVerdict {
  readonly delivered: number;
  readonly missing: number;
  readonly doubled: number;
  readonly tooOld: number;
}

/**
 * Judges the samples of a step from what the trainer received.
 * @param samples - Everything that the trainer received, in order.
 * @param bounds - What was asked for.
 */
export function judgeSamples(
  samples: ReadonlyArray<ReceivedSample>,
  bounds: SampleBounds,
): SampleVerdict {
  const indexes = new Set(samples.map((sample) => sample.index));
  const tooOld = samples.filter((sample) =>
    ageOf(sample) > bounds.stalenessBound
  );
  return {
    delivered: indexes.size,
    missing: bounds.wanted - indexes.size,
    doubled: samples.length - indexes.size,
    tooOld: tooOld.length,
  };
}

function ageOf(sample: ReceivedSample): number {
  const oldest = Math.min(
    ...sample.stretches.map((stretch) => stretch.weightVersion),
  );
  return sample.publishedBeforePull - oldest;
}
