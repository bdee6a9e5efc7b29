import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { StoreSamplesRequestSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import type {
  Sample,
  StepManifest,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { ObjectStoreClient } from "../platform/object_store_client.ts";
import { toStepKey } from "./step_manifests.ts";

/** Maximum number of batches that one load reads. */
const MAXIMUM_READ_OBJECTS = 1024;

/**
 * Stores finished samples in the object store, one object per batch.
 * @example
 * ```ts
 * const archive = new SampleArchive(platform.objects, incarnation);
 * await archive.save(manifest, samples);
 * ```
 */
export class SampleArchive {
  readonly #objects: ObjectStoreClient;
  readonly #incarnation: string;
  #batchCount = 0;

  /**
   * @param objects - The platform's object store.
   * @param incarnation - Incarnation of this node's process; part of each batch's key, so that no
   * two nodes write the same key.
   */
  constructor(objects: ObjectStoreClient, incarnation: string) {
    this.#objects = objects;
    this.#incarnation = incarnation;
  }

  /** Writes one batch of a step's samples; returns whether the object store confirmed the write. */
  async save(
    manifest: StepManifest,
    samples: ReadonlyArray<Sample>,
  ): Promise<boolean> {
    this.#batchCount += 1;
    const key = `${
      toKeyPrefix(manifest)
    }${this.#incarnation}-${this.#batchCount}`;
    const batch = create(StoreSamplesRequestSchema, {
      trainer: manifest.trainer,
      step: manifest.step,
      epoch: manifest.epoch,
      samples: [...samples],
    });
    const body = toBinary(StoreSamplesRequestSchema, batch);
    const outcome = await this.#objects.put(key, body);
    return outcome.kind === "ok";
  }

  /**
   * Reads the samples of at most `MAXIMUM_READ_OBJECTS` batches of a step; returns undefined when
   * the object store is unavailable.
   */
  async load(
    manifest: StepManifest,
  ): Promise<ReadonlyArray<Sample> | undefined> {
    const keys = await this.#objects.list(toKeyPrefix(manifest));
    if (keys.kind !== "ok") return undefined;
    const samples: Sample[] = [];
    for (const key of keys.value.slice(0, MAXIMUM_READ_OBJECTS)) {
      const object = await this.#objects.get(key);
      if (object.kind !== "ok") return undefined;
      if (object.value === undefined) continue;
      samples.push(...parseBatch(object.value));
    }
    return samples;
  }

  /** Deletes the batches of a step that has ended. */
  async remove(manifest: StepManifest): Promise<void> {
    const keys = await this.#objects.list(toKeyPrefix(manifest));
    if (keys.kind !== "ok") return;
    for (const key of keys.value) await this.#objects.delete(key);
  }
}

function toKeyPrefix(manifest: StepManifest): string {
  const step = toStepKey(manifest.trainer, manifest.step);
  return `samples/${step}/${encodeURIComponent(manifest.epoch)}/`;
}

function parseBatch(body: Uint8Array): ReadonlyArray<Sample> {
  try {
    return fromBinary(StoreSamplesRequestSchema, body).samples;
  } catch {
    return [];
  }
}
