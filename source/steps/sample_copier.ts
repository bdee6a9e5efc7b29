import { create } from "@bufbuild/protobuf";
import { StoreSamplesRequestSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import type { Sample } from "../../generated/snipepath/v1/records_pb.ts";
import type { PeerDirectory } from "../membership/peer_directory.ts";
import type { Clock } from "../utilities/clock.ts";
import { ChangeSignal } from "./change_signal.ts";
import type { StepReplica } from "./step_replica.ts";
import type { SampleArchive } from "./sample_archive.ts";
import { toStepKey } from "./step_manifests.ts";

const COPY_RETRY_MILLISECONDS = 500;
const ARCHIVE_WRITE_INTERVAL_MILLISECONDS = 5000;
/** Maximum number of new samples in one copy to a peer. */
const MAXIMUM_BATCH_SAMPLES = 128;

/** Dependencies of the sample copier. */
export interface SampleCopierOptions {
  readonly clock: Clock;
  readonly peers: PeerDirectory;
  readonly archive: SampleArchive;
}

/**
 * Copies the finished samples of one step to a peer in another failure domain and, in batches, to
 * the object store. A sample becomes deliverable once this node has tried to copy it to the peer,
 * whether or not the attempt succeeded.
 * @example
 * ```ts
 * const copier = new SampleCopier(step, { clock, peers, archive });
 * copier.add(sample);
 * await copier.run(signal);
 * ```
 */
export class SampleCopier {
  readonly #step: StepReplica;
  readonly #options: SampleCopierOptions;
  readonly #added: ChangeSignal;
  #uncopied: ReadonlyArray<Sample> = [];
  #unarchived: ReadonlyArray<Sample> = [];
  /** Incarnation of the peer that last confirmed a copy; empty before the first confirmation. */
  #holderIncarnation = "";

  /**
   * @param step - The step whose samples are copied.
   * @param options - Clock, peers and archive.
   */
  constructor(step: StepReplica, options: SampleCopierOptions) {
    this.#step = step;
    this.#options = options;
    this.#added = new ChangeSignal(options.clock);
  }

  /** Queues a sample that this node finished. */
  add(sample: Sample): void {
    this.#uncopied = [...this.#uncopied, sample];
    this.#unarchived = [...this.#unarchived, sample];
    this.#added.notify();
  }

  /** Copies the queued samples to the peer and to the object store until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#copyToPeer(signal), this.#archiveBatches(signal)]);
  }

  /**
   * Copies the manifest and all samples on this node to the peer that holds the copies, unless that
   * peer confirmed a copy already.
   */
  async copyManifest(): Promise<void> {
    await this.#sendToHolder([]);
  }

  /**
   * Tries once to copy the samples that the peer or the object store has not confirmed yet, and
   * marks them as deliverable.
   */
  async copyRemaining(): Promise<void> {
    const { manifest } = this.#step;
    const uncopied = this.#uncopied;
    const unarchived = this.#unarchived;
    if (uncopied.length > 0) await this.#sendToHolder(uncopied);
    this.#step.markDeliverable(uncopied);
    if (unarchived.length > 0) {
      await this.#options.archive.save(manifest, unarchived);
    }
  }

  async #copyToPeer(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const batch = this.#uncopied.slice(0, MAXIMUM_BATCH_SAMPLES);
      if (batch.length === 0 && !this.#hasHolderChanged()) {
        await this.#waitForRetry(signal);
        continue;
      }
      const isCopied = await this.#sendToHolder(batch);
      this.#step.markDeliverable(batch);
      if (isCopied) this.#uncopied = this.#uncopied.slice(batch.length);
      else await this.#waitForRetry(signal);
    }
  }

  #waitForRetry(signal: AbortSignal): Promise<void> {
    const milliseconds = COPY_RETRY_MILLISECONDS;
    return this.#added.wait({ timeoutMilliseconds: milliseconds, signal });
  }

  #hasHolderChanged(): boolean {
    const holder = this.#findHolder();
    return holder !== undefined && holder.nodeStart !== this.#holderIncarnation;
  }

  #findHolder(): ReturnType<PeerDirectory["chooseReplicaPeer"]> {
    const { trainer, step } = this.#step.manifest;
    return this.#options.peers.chooseReplicaPeer(toStepKey(trainer, step));
  }

  async #sendToHolder(batch: ReadonlyArray<Sample>): Promise<boolean> {
    const holder = this.#findHolder();
    if (holder === undefined) return false;
    const isNewHolder = holder.nodeStart !== this.#holderIncarnation;
    const { manifest } = this.#step;
    const isCopied = await this.#options.peers.storeSamples(
      holder,
      create(StoreSamplesRequestSchema, {
        trainer: manifest.trainer,
        step: manifest.step,
        epoch: manifest.epoch,
        samples: isNewHolder ? [...this.#step.samples()] : [...batch],
        ...(isNewHolder ? { manifest } : {}),
      }),
    );
    if (isCopied) this.#holderIncarnation = holder.nodeStart;
    return isCopied;
  }

  async #archiveBatches(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(
        ARCHIVE_WRITE_INTERVAL_MILLISECONDS,
        signal,
      );
      const batch = this.#unarchived;
      if (batch.length === 0 || this.#step.hasEnded) continue;
      const isArchived = await this.#options.archive.save(
        this.#step.manifest,
        batch,
      );
      if (isArchived) this.#unarchived = this.#unarchived.slice(batch.length);
    }
  }
}
