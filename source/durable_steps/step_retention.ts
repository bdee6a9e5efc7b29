import type { DutyLease } from "../duties/duty_lease.ts";
import type { EventLog } from "../observability/event_log.ts";
import { deleteRange, deleteRows } from "../platform/delete_rows.ts";
import type { DurableTable } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";
import { createDeletionTime } from "../utilities/deletion_time.ts";
import {
  hasManifest,
  type StepRegistry,
  toStepRowPlace,
} from "./step_registry.ts";
import {
  STEP_PARTITION,
  STEP_TABLE,
  type StepManifest,
} from "./step_manifest.ts";

const CHECK_INTERVAL_MILLISECONDS = 15_000;
/**
 * Time for which rows are kept beyond the retention period, because the nodes' clocks differ and a
 * client may read late.
 */
const MARGIN_MILLISECONDS = 60_000;

/** Dependencies of the step retention. */
export interface StepRetentionOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  readonly stepRegistry: StepRegistry;
  readonly lease: DutyLease;
  /** Time for which results are kept after their step was submitted. */
  readonly retentionMilliseconds: number;
  readonly stopping: AbortSignal;
}

/** Deletes the rows of steps past their retention period while this node holds the duty lease. */
export class StepRetention {
  readonly #options: StepRetentionOptions;
  readonly #deletionTime: () => number;

  /** @param options - The store, the retention period and the other dependencies. */
  constructor(options: StepRetentionOptions) {
    this.#options = options;
    this.#deletionTime = createDeletionTime(options.clock);
  }

  /** Deletes expired steps periodically until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping, lease } = this.#options;
    while (!stopping.aborted) {
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS, stopping);
      if (lease.getHeldDuty() !== undefined) await this.deleteExpired();
    }
  }

  /** Deletes all rows of ended steps past their retention period; open steps keep their rows. */
  async deleteExpired(): Promise<void> {
    const {
      stepRegistry: registry,
      retentionMilliseconds: retention,
      log,
    } = this.#options;
    const maximumAge = retention + MARGIN_MILLISECONDS;
    for (const entry of [...registry.entries]) {
      if (!hasManifest(entry) || !entry.isEnded) continue;
      const { manifest } = entry;
      if (this.#deletionTime() - manifest.submittedAt < maximumAge) continue;
      const isDone = await this.#deleteStep(manifest);
      if (!isDone) return;
      log.emit("stepRowsDeleted", { step: manifest.identifier });
    }
  }

  // Deletes the manifest last, so that an interrupted deletion is resumed by a later check.
  async #deleteStep(manifest: StepManifest): Promise<boolean> {
    const { identifier, upload } = manifest;
    const ranges = [
      { table: STEP_TABLE.results, partition: identifier },
      { table: STEP_TABLE.progress, partition: identifier },
      {
        table: STEP_TABLE.submissions,
        partition: STEP_PARTITION,
        from: `${upload}/`,
        to: `${upload}0`,
      },
    ];
    const { table } = this.#options;
    for (const range of ranges) {
      if (!await deleteRange(table, range)) return false;
    }
    return await deleteRows(table, [
      toStepRowPlace(identifier, "owner"),
      toStepRowPlace(identifier, "end"),
      toStepRowPlace(identifier, "manifest"),
    ]);
  }
}
