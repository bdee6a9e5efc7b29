import { create } from "@bufbuild/protobuf";
import { StoreSamplesRequestSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import type { Sample } from "../../generated/snipepath/v1/records_pb.ts";
import type { PeerDirectory } from "../membership/peer_directory.ts";
import type { Clock } from "../utilities/clock.ts";
import { ChangeSignal } from "./change_signal.ts";
import type { HeldStep } from "./held_step.ts";
import type { SampleArchive } from "./sample_archive.ts";
import { toStepKey } from "./step_manifests.ts";

const COPY_RETRY_MILLISECONDS = 500;
const ARCHIVE_INTERVAL_MILLISECONDS = 5000;
const MAXIMUM_BATCH_SAMPLES = 128;

/** What the copier of one step needs. */
export interface SampleCopierOptions {
  readonly clock: Clock;
  readonly peers: PeerDirectory;
  readonly archive: SampleArchive;
}

/**
 * Copies the finished samples of one step to a peer in another failure domain and, in batches, to
 * the object store. A sample may be handed over once a copy was tried.
 * @example
 * ```ts
 * const copier = new SampleCopier(step, { clock, peers, archive });
 * copier.add(sample);
 * await copier.run(signal);
 * ```
 */
export class SampleCopier {
  readonly #step: HeldStep;
  readonly #options: SampleCopierOptions;
  readonly #added: ChangeSignal;
  #uncopied: ReadonlyArray<Sample> = [];
  #unsaved: ReadonlyArray<Sample> = [];
  #holderStart = "";

  /**
   * @param step - The step whose samples are copied.
   * @param options - What the copier needs.
   */
  constructor(step: HeldStep, options: SampleCopierOptions) {
    this.#step = step;
    this.#options = options;
    this.#added = new ChangeSignal(options.clock);
  }

  /** Takes a sample that this node finished. */
  add(sample: Sample): void {
    this.#uncopied = [...this.#uncopied, sample];
    this.#unsaved = [...this.#unsaved, sample];
    this.#added.notify();
  }

  /** Copies until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#copyToPeer(signal), this.#saveBatches(signal)]);
  }

  /** Tells the manifest to the peer that keeps copies; samples that are held go along. */
  async copyManifest(): Promise<void> {
    await this.#sendToHolder([]);
  }

  /** Copies once more what was not copied yet. */
  async copyRest(): Promise<void> {
    const { manifest } = this.#step;
    const uncopied = this.#uncopied;
    const unsaved = this.#unsaved;
    if (uncopied.length > 0) await this.#sendToHolder(uncopied);
    this.#step.settle(uncopied);
    if (unsaved.length > 0) await this.#options.archive.save(manifest, unsaved);
  }

  async #copyToPeer(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const batch = this.#uncopied.slice(0, MAXIMUM_BATCH_SAMPLES);
      if (batch.length === 0 && !this.#hasHolderChanged()) {
        await this.#waitForRetry(signal);
        continue;
      }
      const isCopied = await this.#sendToHolder(batch);
      this.#step.settle(batch);
      if (isCopied) this.#uncopied = this.#uncopied.slice(batch.length);
      else await this.#waitForRetry(signal);
    }
  }

  #waitForRetry(signal: AbortSignal): Promise<void> {
    const milliseconds = COPY_RETRY_MILLISECONDS;
    return this.#added.wait({ milliseconds, signal });
  }

  #hasHolderChanged(): boolean {
    const holder = this.#findHolder();
    return holder !== undefined && holder.nodeStart !== this.#holderStart;
  }

  #findHolder(): ReturnType<PeerDirectory["copyHolder"]> {
    const { trainer, step } = this.#step.manifest;
    return this.#options.peers.copyHolder(toStepKey(trainer, step));
  }

  async #sendToHolder(batch: ReadonlyArray<Sample>): Promise<boolean> {
    const holder = this.#findHolder();
    if (holder === undefined) return false;
    const isNewHolder = holder.nodeStart !== this.#holderStart;
    const { manifest } = this.#step;
    const isStored = await this.#options.peers.storeSamples(
      holder,
      create(StoreSamplesRequestSchema, {
        trainer: manifest.trainer,
        step: manifest.step,
        epoch: manifest.epoch,
        samples: isNewHolder ? [...this.#step.samples()] : [...batch],
        ...(isNewHolder ? { manifest } : {}),
      }),
    );
    if (isStored) this.#holderStart = holder.nodeStart;
    return isStored;
  }

  async #saveBatches(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(ARCHIVE_INTERVAL_MILLISECONDS, signal);
      const batch = this.#unsaved;
      if (batch.length === 0 || this.#step.hasEnded) continue;
      const isSaved = await this.#options.archive.save(
        this.#step.manifest,
        batch,
      );
      if (isSaved) this.#unsaved = this.#unsaved.slice(batch.length);
    }
  }
}
