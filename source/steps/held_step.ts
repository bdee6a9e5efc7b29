import type {
  Sample,
  StepManifest,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { Clock } from "../utilities/clock.ts";
import { ChangeSignal } from "./change_signal.ts";
import { SampleBitmap } from "./sample_bitmap.ts";
import {
  getOldestVersion,
  isTooOld,
  type StalenessRule,
} from "./sample_staleness.ts";
import { type PlannedSample, planSamples } from "./step_plan.ts";

const REMEMBERED_ANSWERS = 16;

/** What became of a sample that was offered to a step. */
export type OfferResult = "added" | "replaced" | "known" | "refused";

/** Which samples to choose for a trainer. */
export interface ReadySampleQuery extends StalenessRule {
  /** What the trainer holds already. */
  readonly held: SampleBitmap;
  readonly maximum: number;
}

/**
 * Finished samples of one step that this node holds.
 *
 * Samples merge in any order: of two with the same index the one with the newer weights stays,
 * and a fixed order decides between equals, so that all nodes keep the same one.
 * @example
 * ```ts
 * const step = new HeldStep(manifest, clock);
 * step.offer(sample, { settled: true });
 * ```
 */
export class HeldStep {
  /** The step as it was submitted. */
  readonly manifest: StepManifest;
  /** All samples that the step asks for, by index. */
  readonly plan: ReadonlyArray<PlannedSample>;
  /** Notified when samples are added, settled or dropped. */
  readonly change: ChangeSignal;
  readonly #samples = new Map<number, Sample>();
  readonly #settled = new Set<number>();
  readonly #answers = new Map<string, ReadonlyArray<Sample>>();
  #heldByTrainer: SampleBitmap;
  #hasEnded = false;

  /**
   * @param manifest - The step as it was submitted.
   * @param clock - Measures waits.
   */
  constructor(manifest: StepManifest, clock: Clock) {
    this.manifest = manifest;
    this.plan = planSamples(manifest);
    this.change = new ChangeSignal(clock);
    this.#heldByTrainer = SampleBitmap.empty(this.plan.length);
  }

  /** Returns whether the step is over: the trainer holds all samples, or it was cancelled. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Returns what the trainer held by the cursor seen last. */
  get heldByTrainer(): SampleBitmap {
    return this.#heldByTrainer;
  }

  /** Returns the number of finished samples held here. */
  get finished(): number {
    return this.#samples.size;
  }

  /** Returns whether each sample is held here or by the trainer. */
  isWhole(): boolean {
    return this.plan.every(({ index }) =>
      this.#samples.has(index) || this.#heldByTrainer.has(index)
    );
  }

  /** Marks the step as over and frees its samples. */
  end(): void {
    this.#hasEnded = true;
    this.#samples.clear();
    this.#settled.clear();
    this.#answers.clear();
    this.change.notify();
  }

  /** Notes what the trainer holds, as its cursor says. */
  noteHeldByTrainer(held: SampleBitmap): void {
    this.#heldByTrainer = held;
  }

  /**
   * Takes a finished sample over unless a better one is held.
   * @param sample - The sample.
   * @param options - Whether it may be handed over before it has been copied from here.
   */
  offer(sample: Sample, options: { readonly settled: boolean }): OfferResult {
    if (this.#hasEnded || !this.#isValid(sample)) return "refused";
    const earlier = this.#samples.get(sample.index);
    if (earlier !== undefined && !isPreferred(sample, earlier)) return "known";
    this.#samples.set(sample.index, sample);
    if (options.settled) this.#settled.add(sample.index);
    else this.#settled.delete(sample.index);
    this.change.notify();
    return earlier === undefined ? "added" : "replaced";
  }

  /** Allows samples to be handed over. */
  settle(samples: Iterable<Sample>): void {
    for (const sample of samples) {
      if (this.#samples.get(sample.index) === sample) {
        this.#settled.add(sample.index);
      }
    }
    this.change.notify();
  }

  /** Returns whether a finished sample is held. */
  has(index: number): boolean {
    return this.#samples.has(index);
  }

  /** Returns the finished samples in the order of their indices. */
  samples(): ReadonlyArray<Sample> {
    return [...this.#samples.values()]
      .sort((left, right) => left.index - right.index);
  }

  /** Drops samples that lag too far behind; returns how many. */
  dropTooOld(rule: StalenessRule): number {
    let dropped = 0;
    for (const [index, sample] of this.#samples) {
      if (!isTooOld(sample, rule)) continue;
      this.#samples.delete(index);
      this.#settled.delete(index);
      dropped += 1;
    }
    if (dropped > 0) this.change.notify();
    return dropped;
  }

  /** Returns settled samples that the trainer does not hold and that are fresh enough. */
  ready(query: ReadySampleQuery): ReadonlyArray<Sample> {
    return this.samples()
      .filter((sample) => this.#settled.has(sample.index))
      .filter((sample) => !query.held.has(sample.index))
      .filter((sample) => !isTooOld(sample, query))
      .slice(0, query.maximum);
  }

  /**
   * Chooses the samples that answer a cursor: those of the first answer to the same cursor while
   * they are fresh enough, ready ones otherwise.
   */
  answer(cursor: string, query: ReadySampleQuery): ReadonlyArray<Sample> {
    const earlier = this.#answers.get(cursor);
    if (earlier !== undefined && isStillValid(earlier, query)) return earlier;
    const samples = this.ready(query);
    if (samples.length > 0) this.#remember(cursor, samples);
    return samples;
  }

  #remember(cursor: string, samples: ReadonlyArray<Sample>): void {
    this.#answers.set(cursor, samples);
    if (this.#answers.size <= REMEMBERED_ANSWERS) return;
    const [oldest] = this.#answers.keys();
    if (oldest !== undefined) this.#answers.delete(oldest);
  }

  #isValid(sample: Sample): boolean {
    const planned = this.plan[sample.index];
    return planned !== undefined && planned.group === sample.group &&
      sample.stretches.length > 0;
  }
}

function isStillValid(
  samples: ReadonlyArray<Sample>,
  query: ReadySampleQuery,
): boolean {
  return samples.length <= query.maximum &&
    samples.every((sample) => !isTooOld(sample, query));
}

function isPreferred(sample: Sample, earlier: Sample): boolean {
  const difference = getOldestVersion(sample) - getOldestVersion(earlier);
  if (difference !== 0) return difference > 0;
  return toOrderedText(sample) < toOrderedText(earlier);
}

function toOrderedText(sample: Sample): string {
  return `${sample.backendServerStart}\n${sample.backendServer}\n${sample.text}`;
}
