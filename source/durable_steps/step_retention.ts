import type { DutyLease } from "../duties/duty_lease.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable, RowPlace } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";
import { isWhole, type StepBook, toStepPlace } from "./step_book.ts";
import {
  STEP_PARTITION,
  STEP_TABLE,
  type StepManifest,
} from "./step_manifest.ts";

const CHECK_INTERVAL_MILLISECONDS = 15_000;
/** Clocks of nodes differ, and a reader may be late: rows stay so much longer than promised. */
const MARGIN_MILLISECONDS = 60_000;
/** Entries of a transaction. */
const TRANSACTION_ROWS = 90;

/** What retention works with. */
export interface StepRetentionOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  readonly book: StepBook;
  readonly lease: DutyLease;
  /** How long results are kept after their step was submitted. */
  readonly keepMilliseconds: number;
  readonly stopping: AbortSignal;
}

/** Deletes the rows of steps that nobody may read any more, while this node holds the duties. */
export class StepRetention {
  readonly #options: StepRetentionOptions;

  /** @param options - The store and the promise. */
  constructor(options: StepRetentionOptions) {
    this.#options = options;
  }

  /** Deletes again and again until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping, lease } = this.#options;
    while (!stopping.aborted) {
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS, stopping);
      if (lease.ifHeld() !== undefined) await this.deleteExpired();
    }
  }

  /** Deletes what has expired by now. An open step keeps its rows. */
  async deleteExpired(): Promise<void> {
    const { clock, book, keepMilliseconds, log } = this.#options;
    const kept = keepMilliseconds + MARGIN_MILLISECONDS;
    for (const entry of [...book.entries]) {
      if (!isWhole(entry) || !entry.isEnded) continue;
      const { manifest } = entry;
      if (clock.wall() - manifest.submittedAt < kept) continue;
      const isDone = await this.#deleteStep(manifest);
      if (!isDone) return;
      log.emit("stepRowsDeleted", { step: manifest.identifier });
    }
  }

  // The manifest goes last, so that a deletion that was cut short is taken up again.
  async #deleteStep(manifest: StepManifest): Promise<boolean> {
    const { identifier, upload } = manifest;
    const steps = [
      { table: STEP_TABLE.results, partition: identifier },
      { table: STEP_TABLE.progress, partition: identifier },
      {
        table: STEP_TABLE.submissions,
        partition: STEP_PARTITION,
        from: `${upload}/`,
        to: `${upload}0`,
      },
    ];
    for (const range of steps) {
      if (!await this.#deleteRange(range)) return false;
    }
    return await this.#delete([
      toStepPlace(identifier, "owner"),
      toStepPlace(identifier, "end"),
      toStepPlace(identifier, "manifest"),
    ]);
  }

  async #deleteRange(
    { table, ...window }: {
      readonly table: string;
      readonly partition: string;
      readonly from?: string;
      readonly to?: string;
    },
  ): Promise<boolean> {
    for (;;) {
      const outcome = await this.#options.table.read(table, {
        ...window,
        maximum: TRANSACTION_ROWS,
      });
      if (outcome.kind !== "ok") return false;
      if (outcome.value.rows.length === 0) return true;
      if (!await this.#delete(outcome.value.rows)) return false;
    }
  }

  async #delete(places: ReadonlyArray<RowPlace>): Promise<boolean> {
    const outcome = await this.#options.table.commit({
      conditions: [],
      puts: [],
      deletes: places,
    });
    return outcome.kind === "ok";
  }
}
