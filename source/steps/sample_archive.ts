import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { StoreSamplesRequestSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import type {
  Sample,
  StepManifest,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { ObjectStoreClient } from "../platform/object_store_client.ts";
import { toStepKey } from "./step_manifests.ts";

const MAXIMUM_OBJECTS_READ = 1024;

/**
 * Finished samples in the object store, in batches of one object each.
 * @example
 * ```ts
 * const archive = new SampleArchive(platform.objects, nodeStart);
 * await archive.save(manifest, samples);
 * ```
 */
export class SampleArchive {
  readonly #objects: ObjectStoreClient;
  readonly #nodeStart: string;
  #batches = 0;

  /**
   * @param objects - The platform's object store.
   * @param nodeStart - Identity of this process; keeps the batches of nodes apart.
   */
  constructor(objects: ObjectStoreClient, nodeStart: string) {
    this.#objects = objects;
    this.#nodeStart = nodeStart;
  }

  /** Writes one batch; returns whether the store confirmed it. */
  async save(
    manifest: StepManifest,
    samples: ReadonlyArray<Sample>,
  ): Promise<boolean> {
    this.#batches += 1;
    const key = `${toPrefix(manifest)}${this.#nodeStart}-${this.#batches}`;
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

  /** Reads all samples of a step; undefined when the store did not answer. */
  async load(
    manifest: StepManifest,
  ): Promise<ReadonlyArray<Sample> | undefined> {
    const keys = await this.#objects.list(toPrefix(manifest));
    if (keys.kind !== "ok") return undefined;
    const samples: Sample[] = [];
    for (const key of keys.value.slice(0, MAXIMUM_OBJECTS_READ)) {
      const object = await this.#objects.get(key);
      if (object.kind !== "ok") return undefined;
      if (object.value === undefined) continue;
      samples.push(...parseBatch(object.value));
    }
    return samples;
  }

  /** Deletes the batches of a step that is over. */
  async remove(manifest: StepManifest): Promise<void> {
    const keys = await this.#objects.list(toPrefix(manifest));
    if (keys.kind !== "ok") return;
    for (const key of keys.value) await this.#objects.delete(key);
  }
}

function toPrefix(manifest: StepManifest): string {
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
