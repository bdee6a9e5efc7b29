import { LRUCache } from "lru-cache";
import {
  mayUseVersions,
  type WeightVersionBound,
} from "../decisions/weight_version_bound.ts";
import {
  copySampleText,
  createSampleText,
  type SampleText,
} from "./sample_text.ts";
import type { StepManifest } from "./step_manifest.ts";

/** Maximum number of texts kept in memory; a later step may request the same samples. */
const MAXIMUM_TEXTS = 4000;

/** A sample of a step; samples with equal fields have the same prompt. */
export interface TextOwner {
  readonly manifest: Pick<StepManifest, "organisation" | "model">;
  /** Identifier of the sample. */
  readonly sample: string;
}

/**
 * The texts of the runs on this node, from which later runs of the same samples go on.
 *
 * Runs of two steps with the same sample can overlap, for example while this node has not read that
 * the first step has ended, and each has its own bound on weight versions. So no two runs hold the
 * same text: each takes a copy.
 */
export class SampleTexts {
  /** Text of the latest run of each sample, which that run goes on changing. */
  readonly #texts = new LRUCache<string, Readonly<SampleText>>({
    max: MAXIMUM_TEXTS,
  });

  /**
   * Returns the text with which a run of a sample begins: a copy of the longest one whose weight
   * versions the run may use, or a text without events.
   * @param owner - The sample.
   * @param options - The bound of the step, and texts of the sample that were loaded from the store.
   */
  take(
    owner: TextOwner,
    { bound, loaded }: {
      readonly bound: WeightVersionBound;
      readonly loaded: ReadonlyArray<SampleText>;
    },
  ): SampleText {
    const key = toKey(owner);
    const known = this.#texts.get(key);
    const usable = (known === undefined ? loaded : [known, ...loaded])
      .filter(({ versions }) => mayUseVersions(versions, bound))
      .sort(compareProgress);
    const [longest] = usable;
    const text = longest === undefined
      ? createSampleText()
      : copySampleText(longest);
    this.#texts.set(key, text);
    return text;
  }

  /** Forgets the text of a run that has ended, unless another run has begun since. */
  forget(owner: TextOwner, text: SampleText): void {
    const key = toKey(owner);
    if (this.#texts.peek(key) === text) this.#texts.delete(key);
  }
}

// Identifiers are unique for one organisation only.
function toKey({ manifest, sample }: TextOwner): string {
  return JSON.stringify([manifest.organisation, manifest.model, sample]);
}

function compareProgress(
  left: Readonly<SampleText>,
  right: Readonly<SampleText>,
): number {
  return Number(right.isWhole) - Number(left.isWhole) ||
    right.parts.length - left.parts.length;
}
