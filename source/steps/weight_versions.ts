import { WeightRecordSchema } from "../../generated/snipepath/v1/records_pb.ts";
import type { ToldState } from "../membership/told_state.ts";
import type { TableClient } from "../platform/table_client.ts";
import type { Clock } from "../utilities/clock.ts";
import { readRecord } from "./read_record.ts";

/** Table that holds each trainer's newest weight version. */
export const WEIGHTS_TABLE = "weights";

/** How long a reading of the table counts as this node's own word about the newest version. */
export const VERSION_VIEW_MILLISECONDS = 500;

const RELOAD_INTERVAL_MILLISECONDS = 10_000;
const RELOAD_ROWS = 1000;

/** A weight version that a trainer published. */
export interface PublishedVersion {
  readonly trainer: string;
  readonly service: string;
  readonly version: number;
  /** Where engines fetch the version, as the trainer gave it. */
  readonly location: string;
}

/** What the view of weight versions needs. */
export interface WeightVersionsOptions {
  readonly clock: Clock;
  readonly table: TableClient;
  readonly told: ToldState;
}

/**
 * This node's view of each trainer's newest weight version. Versions only grow.
 * @example
 * ```ts
 * const versions = new WeightVersions({ clock, table, told });
 * versions.newest("dots"); // 7
 * ```
 */
export class WeightVersions {
  readonly #options: WeightVersionsOptions;
  readonly #published = new Map<string, PublishedVersion>();
  readonly #readAt = new Map<string, number>();
  readonly #listeners = new Set<(version: PublishedVersion) => void>();

  /** @param options - What the view needs. */
  constructor(options: WeightVersionsOptions) {
    this.#options = options;
    options.told.watch("weightVersion", (fact) => {
      this.learn({
        trainer: fact.key,
        service: fact.value.service,
        version: Number(fact.value.newestVersion),
        location: fact.value.location,
      });
    });
  }

  /** Returns a trainer's newest version; 0 when none is known. */
  newest(trainer: string): number {
    return this.#published.get(trainer)?.version ?? 0;
  }

  /** Returns the newest versions of all trainers. */
  all(): ReadonlyArray<PublishedVersion> {
    return [...this.#published.values()];
  }

  /** Takes a version over if it is newer than the known one. */
  learn(version: PublishedVersion): void {
    if (!Number.isSafeInteger(version.version)) return;
    if (!this.#isNews(version)) return;
    this.#published.set(version.trainer, version);
    for (const listener of this.#listeners) listener(version);
  }

  /** Learns a version and tells it to the other nodes. */
  tell(version: PublishedVersion): void {
    this.learn(version);
    this.#options.told.tell("weightVersion", version.trainer, {
      $typeName: "snipepath.v1.WeightVersionFact",
      newestVersion: BigInt(version.version),
      location: version.location,
      service: version.service,
    });
  }

  /** Calls a listener with each newer version; returns what ends that. */
  watch(listener: (version: PublishedVersion) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Reads a trainer's newest version from the table.
   * @returns Whether the table answered.
   */
  async refresh(trainer: string): Promise<boolean> {
    const sentAt = this.#options.clock.monotonic();
    const outcome = await this.#options.table.get(WEIGHTS_TABLE, trainer);
    if (outcome.kind !== "ok") return false;
    if (outcome.value !== undefined) this.#learnRow(outcome.value.value);
    this.#readAt.set(trainer, sentAt);
    return true;
  }

  /** Returns whether the newest version was read from the table a moment ago. */
  isConfirmed(trainer: string): boolean {
    const readAt = this.#readAt.get(trainer);
    if (readAt === undefined) return false;
    const age = this.#options.clock.monotonic() - readAt;
    return age <= VERSION_VIEW_MILLISECONDS;
  }

  /** Reads all versions from the table now and then, for what was not told. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const rows = await this.#options.table.list(WEIGHTS_TABLE, {
        prefix: "",
        maximum: RELOAD_ROWS,
      });
      if (rows.kind === "ok") {
        for (const row of rows.value) this.#learnRow(row.value);
      }
      await this.#options.clock.sleep(RELOAD_INTERVAL_MILLISECONDS, signal);
    }
  }

  #isNews(version: PublishedVersion): boolean {
    const known = this.#published.get(version.trainer);
    if (known === undefined) return version.version > 0;
    if (version.version !== known.version) {
      return version.version > known.version;
    }
    return known.location === "" && version.location !== "";
  }

  #learnRow(value: string): void {
    const record = readRecord(WeightRecordSchema, value);
    if (record === undefined) return;
    this.learn({
      trainer: record.trainer,
      service: record.service,
      version: Number(record.newestVersion),
      location: record.location,
    });
  }
}
