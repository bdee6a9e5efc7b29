import type { Sample } from "../../generated/snipepath/v1/records_pb.ts";
import type { Peer } from "../membership/peer_directory.ts";
import type { Clock } from "../utilities/clock.ts";
import type { StepReplica } from "./step_replica.ts";
import type { SampleArchive } from "./sample_archive.ts";
import type { SampleBitmap } from "./sample_bitmap.ts";
import type { StepDirectory } from "./step_directory.ts";
import type { WeightVersions } from "./weight_versions.ts";

/** Minimum time between two reads of a step's samples from the object store. */
const ARCHIVE_READ_INTERVAL_MILLISECONDS = 2000;

/** Dependencies of the step fetcher. */
export interface StepFetcherOptions {
  readonly clock: Clock;
  readonly directory: StepDirectory;
  readonly archive: SampleArchive;
  readonly versions: WeightVersions;
}

/** Selects the samples to fetch. */
export interface FetchOptions {
  /** Samples that the trainer holds already. */
  readonly held: SampleBitmap;
  /** Maximum number of samples that each peer returns; 0 for all. */
  readonly maximum: number;
}

/**
 * Fetches finished samples from the peers that hold them, or from the object store when no peer
 * responds.
 * @example
 * ```ts
 * const addedCount = await fetcher.fetch(step, { held, maximum: 64 });
 * ```
 */
export class StepFetcher {
  readonly #options: StepFetcherOptions;
  /** Monotonic time of the last object store read of each step, in milliseconds. */
  readonly #archiveReadAt = new WeakMap<StepReplica, number>();

  /** @param options - Clock, directory, archive and weight versions. */
  constructor(options: StepFetcherOptions) {
    this.#options = options;
  }

  /**
   * Fetches samples that the trainer does not hold, from the first peer that has new ones.
   * @returns Number of samples that were new to this node; 0 without a fetch when this node owns
   * the step.
   */
  async fetch(step: StepReplica, options: FetchOptions): Promise<number> {
    if (this.#options.directory.isOwned(step)) return 0;
    let respondedPeers = 0;
    for (const peer of this.#options.directory.holders(step.manifest)) {
      const addedCount = await this.#fetchFrom(peer, step, options);
      if (addedCount === undefined) continue;
      if (addedCount > 0) return addedCount;
      respondedPeers += 1;
    }
    if (respondedPeers > 0) return 0;
    return await this.#readArchive(step);
  }

  /**
   * Fetches the samples that the trainer does not hold from every peer that published a fact about
   * the step, and the samples of the step from the object store.
   */
  async fetchAll(step: StepReplica): Promise<void> {
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
    step: StepReplica,
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
    versions.record({
      trainer: manifest.trainer,
      service: manifest.service,
      version: Number(response.newestVersion),
      location: "",
    });
    return mergeAll(step, response.samples);
  }

  async #readArchive(step: StepReplica): Promise<number> {
    const { clock, archive } = this.#options;
    const now = clock.monotonic();
    const readAt = this.#archiveReadAt.get(step);
    if (
      readAt !== undefined && now - readAt < ARCHIVE_READ_INTERVAL_MILLISECONDS
    ) {
      return 0;
    }
    this.#archiveReadAt.set(step, now);
    const samples = await archive.load(step.manifest);
    return mergeAll(step, samples ?? []);
  }
}

/** Merges samples into a step; returns how many of them were new to this node. */
function mergeAll(step: StepReplica, samples: ReadonlyArray<Sample>): number {
  let added = 0;
  for (const sample of samples) {
    if (step.merge(sample, { isDeliverable: true }) === "added") added += 1;
  }
  return added;
}
