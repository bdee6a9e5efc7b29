import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable, StoredRow } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";
import type { DutyClient } from "./duty_client.ts";
import type { DutyLease } from "./duty_lease.ts";
import { USAGE_TABLE, type UsageCounts } from "./usage_meter.ts";

const CHECK_INTERVAL_MILLISECONDS = 500;
/** Share of the time until a report is due that nodes have to save their counts. */
const SAVE_SHARE = 0.35;
/** Windows that ended longer ago are reported no more. */
const OLDEST_MILLISECONDS = 60_000;
/** Figures stay so much longer than any holder reports them, as clocks of nodes differ. */
const KEPT_MILLISECONDS = 2 * OLDEST_MILLISECONDS;
/** Entries of a transaction. */
const TRANSACTION_ROWS = 90;
const DECIDED_KEY = "~decided";
const REPORTED_KEY = "~reported";

/** What usage reporting works with. */
export interface UsageReportingOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  readonly duties: DutyClient;
  readonly lease: DutyLease;
  readonly windowMilliseconds: number;
  /** From a window's end until its report is due. */
  readonly lateMilliseconds: number;
  /** When this process was started, by the wall clock. */
  readonly startedAt: number;
  readonly stopping: AbortSignal;
}

/**
 * Reports each window's usage once. The figures are written to the store on the condition that
 * none were, before they are sent, so every holder of the duty sends the same ones.
 */
export class UsageReporting {
  readonly #options: UsageReportingOptions;
  readonly #reported = new Set<number>();
  #deletedThrough: number | undefined;

  /** @param options - The store and the duty. */
  constructor(options: UsageReportingOptions) {
    this.#options = options;
  }

  /** Reports windows while the duty is held, until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping, lease } = this.#options;
    while (!stopping.aborted) {
      if (lease.ifHeld() !== undefined) await this.#reportDue();
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS, stopping);
    }
  }

  async #reportDue(): Promise<void> {
    const { clock, windowMilliseconds, lateMilliseconds } = this.#options;
    const now = clock.wall();
    const ready = now - SAVE_SHARE * lateMilliseconds;
    const last = Math.floor(ready / windowMilliseconds) - 1;
    // A holder that was started later reports what earlier ones left.
    const earliest = last - Math.ceil(OLDEST_MILLISECONDS / windowMilliseconds);
    for (let window = earliest; window <= last; window += 1) {
      if (!this.#reported.has(window)) await this.#report(window);
    }
    await this.#deleteOld(last);
  }

  // One window after the other; a new holder begins where the last one may have stopped.
  async #deleteOld(last: number): Promise<void> {
    const { table, windowMilliseconds } = this.#options;
    const kept = Math.ceil(KEPT_MILLISECONDS / windowMilliseconds);
    const oldest = last - kept;
    const overlap = Math.ceil(OLDEST_MILLISECONDS / windowMilliseconds);
    const from = this.#deletedThrough ?? oldest - overlap;
    for (let window = from + 1; window <= oldest; window += 1) {
      const partition = String(window);
      const outcome = await table.read(USAGE_TABLE, { partition });
      if (outcome.kind !== "ok") return;
      const deletes = outcome.value.rows;
      if (deletes.length > 0) {
        const deleted = await table.commit({
          conditions: [],
          puts: [],
          deletes: deletes.slice(0, TRANSACTION_ROWS),
        });
        if (deleted.kind !== "ok" || deletes.length > TRANSACTION_ROWS) return;
      }
      this.#deletedThrough = window;
    }
  }

  async #report(window: number): Promise<void> {
    const { duties, lease, log } = this.#options;
    const counts = await this.#decide(window);
    const duty = lease.ifHeld();
    if (counts === undefined || duty === undefined) return;
    const outcome = await duties.reportUsage({ window, counts }, {
      duty,
      guard: () => lease.mayAct(duty),
    });
    log.emit("usageWindowReported", {
      window,
      outcome: outcome.kind,
      organisations: Object.keys(counts).length,
    });
    if (outcome.kind !== "accepted") return;
    this.#reported.add(window);
    await this.#put(window, REPORTED_KEY, Buffer.from("1"));
  }

  // Returns the figures to be sent; undefined when they were sent already or can't be known now.
  async #decide(window: number): Promise<UsageCounts | undefined> {
    const { table, windowMilliseconds, startedAt } = this.#options;
    const read = await table.read(USAGE_TABLE, {
      partition: String(window),
    });
    if (read.kind !== "ok") return undefined;
    const { rows } = read.value;
    if (rows.some(({ key }) => key === REPORTED_KEY)) {
      this.#reported.add(window);
      return undefined;
    }
    // Before this process was started, only what others left in the store tells of a window.
    const isLater = (window + 1) * windowMilliseconds > startedAt;
    if (rows.length === 0 && !isLater) {
      this.#reported.add(window);
      return undefined;
    }
    const decided = rows.find(({ key }) => key === DECIDED_KEY);
    if (decided !== undefined) return readCounts(decided);
    const counts = addCounts(rows);
    const value = Buffer.from(JSON.stringify(counts));
    const place = {
      table: USAGE_TABLE,
      partition: String(window),
      key: DECIDED_KEY,
    };
    const outcome = await table.commit({
      conditions: [{ ...place, version: 0 }],
      puts: [{ ...place, value }],
    });
    // After a conflict or a lost answer the next check reads what was decided.
    const isDecided = outcome.kind === "ok" &&
      outcome.value.kind === "committed";
    return isDecided ? counts : undefined;
  }

  async #put(window: number, key: string, value: Buffer): Promise<void> {
    await this.#options.table.commit({
      conditions: [],
      puts: [{ table: USAGE_TABLE, partition: String(window), key, value }],
    });
  }
}

function addCounts(rows: ReadonlyArray<StoredRow>): UsageCounts {
  const sums = new Map<string, number>();
  for (const row of rows) {
    for (const [organisation, count] of Object.entries(readCounts(row))) {
      sums.set(organisation, (sums.get(organisation) ?? 0) + count);
    }
  }
  return Object.fromEntries(sums);
}

function readCounts({ value }: StoredRow): UsageCounts {
  return JSON.parse(value.toString()) as UsageCounts;
}
