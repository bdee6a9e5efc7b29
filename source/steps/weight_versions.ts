import { WeightRecordSchema } from "../../generated/snipepath/v1/records_pb.ts";
import type { ReplicatedFacts } from "../membership/replicated_facts.ts";
import type { TableClient } from "../platform/table_client.ts";
import type { Clock } from "../utilities/clock.ts";
import { readRecord } from "./read_record.ts";

/** Name of the table that stores each trainer's newest weight version. */
export const WEIGHTS_TABLE = "weights";

/**
 * Time, in milliseconds, for which this node relies on the newest version that it knows: counted
 * from the sending of the last successful table read, or from the arrival of a pull that states the
 * trainer's newest version.
 */
export const MAXIMUM_VERSION_READ_AGE_MILLISECONDS = 500;

const RELOAD_INTERVAL_MILLISECONDS = 10_000;
/** Maximum number of rows, one for each trainer, that one reload reads. */
const MAXIMUM_RELOAD_ROWS = 1000;

/** A weight version that a trainer published. */
export interface PublishedVersion {
  readonly trainer: string;
  readonly service: string;
  readonly version: number;
  /** Location from which engines load the version, as the trainer sent it. */
  readonly location: string;
}

/** Dependencies of `WeightVersions`. */
export interface WeightVersionsOptions {
  readonly clock: Clock;
  readonly table: TableClient;
  readonly replicatedFacts: ReplicatedFacts;
}

/**
 * Holds the newest weight version of each trainer that this node knows; a trainer's version never
 * decreases.
 * @example
 * ```ts
 * const versions = new WeightVersions({ clock, table, replicatedFacts });
 * versions.newest("dots"); // 7
 * ```
 */
export class WeightVersions {
  readonly #options: WeightVersionsOptions;
  /** Newest known version of each trainer, by the trainer's name. */
  readonly #newestByTrainer = new Map<string, PublishedVersion>();
  /**
   * Monotonic time at which the last successful table read of each trainer's version was sent, in
   * milliseconds.
   */
  readonly #tableReadAt = new Map<string, number>();
  readonly #listeners = new Set<(version: PublishedVersion) => void>();

  /** @param options - Clock, table and replicated facts. */
  constructor(options: WeightVersionsOptions) {
    this.#options = options;
    options.replicatedFacts.watch("weightVersion", (fact) => {
      this.record({
        trainer: fact.key,
        service: fact.value.service,
        version: Number(fact.value.newestVersion),
        location: fact.value.location,
      });
    });
  }

  /** Returns a trainer's newest version; 0 when none is known. */
  newest(trainer: string): number {
    return this.#newestByTrainer.get(trainer)?.version ?? 0;
  }

  /** Returns the newest known version of each trainer. */
  all(): ReadonlyArray<PublishedVersion> {
    return [...this.#newestByTrainer.values()];
  }

  /**
   * Records a version and notifies the listeners if the version is newer than the known one, or if
   * it is the same and the known one lacks the location.
   */
  record(version: PublishedVersion): void {
    if (!Number.isSafeInteger(version.version)) return;
    if (!this.#replacesKnown(version)) return;
    this.#newestByTrainer.set(version.trainer, version);
    for (const listener of this.#listeners) listener(version);
  }

  /** Records a version and publishes it to the other nodes. */
  publish(version: PublishedVersion): void {
    this.record(version);
    this.#options.replicatedFacts.publish("weightVersion", version.trainer, {
      $typeName: "snipepath.v1.WeightVersionFact",
      newestVersion: BigInt(version.version),
      location: version.location,
      service: version.service,
    });
  }

  /** Calls a listener with each recorded version; returns a function that unsubscribes it. */
  watch(listener: (version: PublishedVersion) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Reads a trainer's newest version from the table and records it.
   * @returns Whether the read succeeded.
   */
  async refresh(trainer: string): Promise<boolean> {
    const sentAt = this.#options.clock.monotonic();
    const outcome = await this.#options.table.get(WEIGHTS_TABLE, trainer);
    if (outcome.kind !== "ok") return false;
    if (outcome.value !== undefined) this.#recordRow(outcome.value.value);
    this.#tableReadAt.set(trainer, sentAt);
    return true;
  }

  /**
   * Returns whether the last successful table read of a trainer's version was sent at most
   * `MAXIMUM_VERSION_READ_AGE_MILLISECONDS` ago.
   */
  isConfirmed(trainer: string): boolean {
    const sentAt = this.#tableReadAt.get(trainer);
    if (sentAt === undefined) return false;
    const ageMilliseconds = this.#options.clock.monotonic() - sentAt;
    return ageMilliseconds <= MAXIMUM_VERSION_READ_AGE_MILLISECONDS;
  }

  /**
   * Reloads the versions of at most `MAXIMUM_RELOAD_ROWS` trainers periodically until `signal` is
   * aborted, in case this node missed a published version.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const rows = await this.#options.table.list(WEIGHTS_TABLE, {
        prefix: "",
        maximum: MAXIMUM_RELOAD_ROWS,
      });
      if (rows.kind === "ok") {
        for (const row of rows.value) this.#recordRow(row.value);
      }
      await this.#options.clock.sleep(RELOAD_INTERVAL_MILLISECONDS, signal);
    }
  }

  /** Returns whether a version is newer than the known one, or adds the location that it lacks. */
  #replacesKnown(version: PublishedVersion): boolean {
    const known = this.#newestByTrainer.get(version.trainer);
    if (known === undefined) return version.version > 0;
    if (version.version !== known.version) {
      return version.version > known.version;
    }
    return known.location === "" && version.location !== "";
  }

  #recordRow(value: string): void {
    const record = readRecord(WeightRecordSchema, value);
    if (record === undefined) return;
    this.record({
      trainer: record.trainer,
      service: record.service,
      version: Number(record.newestVersion),
      location: record.location,
    });
  }
}
