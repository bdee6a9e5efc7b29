import type { Sample } from "../../generated/snipepath/v1/records_pb.ts";
import type { Peer } from "../membership/peer_directory.ts";
import type { Clock } from "../utilities/clock.ts";
import type { HeldStep } from "./held_step.ts";
import type { SampleArchive } from "./sample_archive.ts";
import type { SampleBitmap } from "./sample_bitmap.ts";
import type { StepDirectory } from "./step_directory.ts";
import type { WeightVersions } from "./weight_versions.ts";

const ARCHIVE_INTERVAL_MILLISECONDS = 2000;

/** What fetching samples needs. */
export interface StepFetcherOptions {
  readonly clock: Clock;
  readonly directory: StepDirectory;
  readonly archive: SampleArchive;
  readonly versions: WeightVersions;
}

/** Which samples to fetch. */
export interface FetchOptions {
  /** What the trainer holds. */
  readonly held: SampleBitmap;
  readonly maximum: number;
}

/**
 * Fetches finished samples from the nodes that hold them, else from the object store.
 * @example
 * ```ts
 * const found = await fetcher.fetch(step, { held, maximum: 64 });
 * ```
 */
export class StepFetcher {
  readonly #options: StepFetcherOptions;
  readonly #archiveReadAt = new WeakMap<HeldStep, number>();

  /** @param options - What fetching samples needs. */
  constructor(options: StepFetcherOptions) {
    this.#options = options;
  }

  /** Fetches samples that the trainer does not hold; returns how many were new here. */
  async fetch(step: HeldStep, options: FetchOptions): Promise<number> {
    if (this.#options.directory.isOwned(step)) return 0;
    let answered = 0;
    for (const peer of this.#options.directory.holders(step.manifest)) {
      const found = await this.#fetchFrom(peer, step, options);
      if (found === undefined) continue;
      if (found > 0) return found;
      answered += 1;
    }
    if (answered > 0) return 0;
    return await this.#readArchive(step);
  }

  /** Takes over all samples of a step that peers and the object store hold. */
  async gather(step: HeldStep): Promise<void> {
    for (const peer of this.#options.directory.holders(step.manifest)) {
      await this.#fetchFrom(peer, step, {
        held: step.heldByTrainer,
        maximum: 0,
      });
    }
    this.#archiveReadAt.delete(step);
    await this.#readArchive(step);
  }

  async #fetchFrom(
    peer: Peer,
    step: HeldStep,
    options: FetchOptions,
  ): Promise<number | undefined> {
    const { manifest } = step;
    const { versions } = this.#options;
    const response = await this.#options.directory.fetch(peer, {
      trainer: manifest.trainer,
      step: manifest.step,
      epoch: manifest.epoch,
      held: options.held.toBytes(),
      heldByTrainer: true,
      maximum: options.maximum,
      newestVersion: BigInt(versions.newest(manifest.trainer)),
    });
    if (response?.manifest === undefined) return undefined;
    if (response.manifest.epoch !== manifest.epoch) return undefined;
    versions.learn({
      trainer: manifest.trainer,
      service: manifest.service,
      version: Number(response.newestVersion),
      location: "",
    });
    return offerAll(step, response.samples);
  }

  async #readArchive(step: HeldStep): Promise<number> {
    const { clock, archive } = this.#options;
    const now = clock.monotonic();
    const readAt = this.#archiveReadAt.get(step);
    if (readAt !== undefined && now - readAt < ARCHIVE_INTERVAL_MILLISECONDS) {
      return 0;
    }
    this.#archiveReadAt.set(step, now);
    const samples = await archive.load(step.manifest);
    return offerAll(step, samples ?? []);
  }
}

function offerAll(step: HeldStep, samples: ReadonlyArray<Sample>): number {
  let added = 0;
  for (const sample of samples) {
    if (step.offer(sample, { settled: true }) === "added") added += 1;
  }
  return added;
}
