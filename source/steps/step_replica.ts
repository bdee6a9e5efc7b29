import type {
  Sample,
  StepManifest,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { Clock } from "../utilities/clock.ts";
import { ChangeSignal } from "./change_signal.ts";
import { SampleBitmap } from "./sample_bitmap.ts";
import {
  exceedsStalenessBound,
  getOldestVersion,
  type StalenessRule,
} from "./sample_staleness.ts";
import { type PlannedSample, planSamples } from "./step_plan.ts";

/** Maximum number of cursors for which a step keeps the samples of the response. */
const MAXIMUM_CACHED_RESPONSES = 16;

/** Result of merging a sample into a step. */
export type MergeResult = "added" | "replaced" | "known" | "refused";

/** Selects samples to deliver to a trainer. */
export interface DeliverableSampleQuery extends StalenessRule {
  /** Samples that the trainer holds already. */
  readonly held: SampleBitmap;
  /** Maximum number of samples to deliver. */
  readonly maximum: number;
}

/**
 * Holds this node's replica of one step: its manifest and the finished samples that this node has.
 *
 * Nodes may merge samples in any order and still converge: of two samples with the same index, the
 * one with the newer weights is kept, and a total order breaks ties.
 * @example
 * ```ts
 * const step = new StepReplica(manifest, clock);
 * step.merge(sample, { isDeliverable: true });
 * ```
 */
export class StepReplica {
  /** Manifest of the step as the trainer submitted it. */
  readonly manifest: StepManifest;
  /** All samples that the step requests, by index. */
  readonly plan: ReadonlyArray<PlannedSample>;
  /**
   * Notifies waiting tasks when samples are added, become deliverable or are dropped, and when the
   * step ends.
   */
  readonly change: ChangeSignal;
  /** Finished samples by index. */
  readonly #samples = new Map<number, Sample>();
  /** Indices of the finished samples that may be delivered. */
  readonly #deliverable = new Set<number>();
  /** Samples of the last response that contained any, by the text of the answered cursor. */
  readonly #responses = new Map<string, ReadonlyArray<Sample>>();
  #heldByTrainer: SampleBitmap;
  #hasEnded = false;

  /**
   * @param manifest - Manifest of the step as the trainer submitted it.
   * @param clock - Measures the timeouts of waits for a change.
   */
  constructor(manifest: StepManifest, clock: Clock) {
    this.manifest = manifest;
    this.plan = planSamples(manifest);
    this.change = new ChangeSignal(clock);
    this.#heldByTrainer = SampleBitmap.empty(this.plan.length);
  }

  /**
   * Returns whether the step has ended: the trainer holds all samples, it was cancelled, a later
   * epoch replaced it, or it expired.
   */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Returns the samples that the trainer holds according to the last cursor that this node knows. */
  get heldByTrainer(): SampleBitmap {
    return this.#heldByTrainer;
  }

  /** Returns the number of finished samples that this node holds. */
  get finishedCount(): number {
    return this.#samples.size;
  }

  /** Returns whether each sample is held by this node or by the trainer. */
  isComplete(): boolean {
    return this.plan.every(({ index }) =>
      this.#samples.has(index) || this.#heldByTrainer.has(index)
    );
  }

  /** Marks the step as ended and releases its samples. */
  end(): void {
    this.#hasEnded = true;
    this.#samples.clear();
    this.#deliverable.clear();
    this.#responses.clear();
    this.change.notify();
  }

  /** Sets the samples that the trainer holds according to its cursor. */
  setHeldByTrainer(held: SampleBitmap): void {
    this.#heldByTrainer = held;
  }

  /**
   * Merges a finished sample unless this node holds a preferred one with the same index.
   * @param sample - The sample.
   * @param options - Whether the sample may be delivered before this node has tried to copy it to a
   * peer.
   */
  merge(
    sample: Sample,
    options: { readonly isDeliverable: boolean },
  ): MergeResult {
    if (this.#hasEnded || !this.#isValid(sample)) return "refused";
    const earlier = this.#samples.get(sample.index);
    if (earlier !== undefined && !isPreferred(sample, earlier)) return "known";
    this.#samples.set(sample.index, sample);
    if (options.isDeliverable) this.#deliverable.add(sample.index);
    else this.#deliverable.delete(sample.index);
    this.change.notify();
    return earlier === undefined ? "added" : "replaced";
  }

  /** Marks samples as deliverable to the trainer, except those that were replaced or dropped. */
  markDeliverable(samples: Iterable<Sample>): void {
    for (const sample of samples) {
      if (this.#samples.get(sample.index) === sample) {
        this.#deliverable.add(sample.index);
      }
    }
    this.change.notify();
  }

  /** Returns whether this node holds the finished sample with an index. */
  has(index: number): boolean {
    return this.#samples.has(index);
  }

  /** Returns the finished samples in the order of their indices. */
  samples(): ReadonlyArray<Sample> {
    return [...this.#samples.values()]
      .sort((left, right) => left.index - right.index);
  }

  /** Drops samples that exceed the staleness bound; returns their number. */
  dropStaleSamples(rule: StalenessRule): number {
    let dropped = 0;
    for (const [index, sample] of this.#samples) {
      if (!exceedsStalenessBound(sample, rule)) continue;
      this.#samples.delete(index);
      this.#deliverable.delete(index);
      dropped += 1;
    }
    if (dropped > 0) this.change.notify();
    return dropped;
  }

  /** Returns deliverable samples that `query.held` lacks and that are within the staleness bound. */
  getDeliverable(query: DeliverableSampleQuery): ReadonlyArray<Sample> {
    return this.samples()
      .filter((sample) => this.#deliverable.has(sample.index))
      .filter((sample) => !query.held.has(sample.index))
      .filter((sample) => !exceedsStalenessBound(sample, query))
      .slice(0, query.maximum);
  }

  /**
   * Returns the samples for the response to a cursor. A cursor that was answered before gets the
   * same samples again while they are within the maximum and the staleness bound; in all other
   * cases, these are the samples that are deliverable now.
   */
  getResponseSamples(
    cursor: string,
    query: DeliverableSampleQuery,
  ): ReadonlyArray<Sample> {
    const earlier = this.#responses.get(cursor);
    if (earlier !== undefined && isStillDeliverable(earlier, query)) {
      return earlier;
    }
    const samples = this.getDeliverable(query);
    if (samples.length > 0) this.#cacheResponse(cursor, samples);
    return samples;
  }

  #cacheResponse(cursor: string, samples: ReadonlyArray<Sample>): void {
    this.#responses.set(cursor, samples);
    if (this.#responses.size <= MAXIMUM_CACHED_RESPONSES) return;
    const [oldest] = this.#responses.keys();
    if (oldest !== undefined) this.#responses.delete(oldest);
  }

  #isValid(sample: Sample): boolean {
    const planned = this.plan[sample.index];
    return planned !== undefined && planned.group === sample.group &&
      sample.stretches.length > 0;
  }
}

function isStillDeliverable(
  samples: ReadonlyArray<Sample>,
  query: DeliverableSampleQuery,
): boolean {
  return samples.length <= query.maximum &&
    samples.every((sample) => !exceedsStalenessBound(sample, query));
}

function isPreferred(sample: Sample, earlier: Sample): boolean {
  const difference = getOldestVersion(sample) - getOldestVersion(earlier);
  if (difference !== 0) return difference > 0;
  return toTieBreakKey(sample) < toTieBreakKey(earlier);
}

function toTieBreakKey(sample: Sample): string {
  return `${sample.backendServerStart}\n${sample.backendServer}\n${sample.text}`;
}
