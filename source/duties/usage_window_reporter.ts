import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable, StoredRow } from "../platform/durable_table.ts";
import { asObject } from "../platform/platform_answer.ts";
import type { Clock } from "../utilities/clock.ts";
import { createDeletionTime } from "../utilities/deletion_time.ts";
import type { DutyClient } from "./duty_client.ts";
import type { DutyLease } from "./duty_lease.ts";
import { USAGE_TABLE, type UsageCounts } from "./usage_meter.ts";
import { isCount } from "../utilities/number_ranges.ts";

const CHECK_INTERVAL_MILLISECONDS = 500;
/**
 * Share of the time from a window's end to its report deadline after which a window is reported
 * although a node has not settled its counts.
 */
const SETTLING_TIME_SHARE = 0.35;
/** Age after which a window is no longer reported. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 60_000;
/**
 * Age after which the counts of a window are deleted, longer than any lease holder reports them,
 * because the nodes' clocks differ.
 */
const RETENTION_MILLISECONDS = 2 * MAXIMUM_REPORT_AGE_MILLISECONDS;
/** Maximum number of rows deleted in one transaction. */
const MAXIMUM_TRANSACTION_ROWS = 90;
/** Key of the row with the counts that were fixed for a window. */
const DECIDED_KEY = "~decided";
/** Key of the row that marks a window as reported. */
const REPORTED_KEY = "~reported";

/** Dependencies of a usage window reporter. */
export interface UsageWindowReporterOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  readonly duties: DutyClient;
  readonly lease: DutyLease;
  /**
   * Returns the index of the last usage window whose counts are final and saved on all running
   * nodes; undefined while the running nodes are not known.
   */
  readonly settledThrough: () => number | undefined;
  readonly windowMilliseconds: number;
  /** Time from the end of a window until its report is due. */
  readonly reportDeadlineMilliseconds: number;
  /** Time at which this process started, in Unix milliseconds. */
  readonly startedAt: number;
  readonly stopping: AbortSignal;
}

/**
 * Reports the usage of each window to the platform until the platform accepts the report.
 *
 * A window is reported as soon as all running nodes have settled its counts, so that an outage of
 * the store after that does not delay the report, and otherwise after a part of the time to the
 * deadline.
 *
 * Before the first report of a window, its counts are written to the store on the condition that no
 * counts were fixed for the window yet. So every holder of the duty lease sends the same counts.
 */
export class UsageWindowReporter {
  readonly #options: UsageWindowReporterOptions;
  /** Indexes of the windows that need no report by this node. */
  readonly #reported = new Set<number>();
  readonly #deletionTime: () => number;
  /** Index of the last window whose counts this node has deleted. */
  #deletedThrough: number | undefined;

  /** @param options - The store, the duty lease and the other dependencies. */
  constructor(options: UsageWindowReporterOptions) {
    this.#options = options;
    this.#deletionTime = createDeletionTime(options.clock);
  }

  /** Reports windows while this node holds the duty lease, until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping, lease } = this.#options;
    while (!stopping.aborted) {
      if (lease.getHeldDuty() !== undefined) await this.#reportDueWindows();
      await clock.sleep(
        lease.toCheckInterval(CHECK_INTERVAL_MILLISECONDS),
        stopping,
      );
    }
  }

  async #reportDueWindows(): Promise<void> {
    const { clock, windowMilliseconds, reportDeadlineMilliseconds: deadline } =
      this.#options;
    const now = clock.wall();
    const due = now - SETTLING_TIME_SHARE * deadline;
    const lastDue = Math.floor(due / windowMilliseconds) - 1;
    const lastEnded = Math.floor(now / windowMilliseconds) - 1;
    const settled = this.#options.settledThrough() ?? lastDue;
    const last = Math.max(lastDue, Math.min(settled, lastEnded));
    // A new lease holder also reports the windows that earlier holders did not report.
    const earliest = last -
      Math.ceil(MAXIMUM_REPORT_AGE_MILLISECONDS / windowMilliseconds);
    for (let window = earliest; window <= last; window += 1) {
      if (!this.#reported.has(window)) await this.#report(window);
    }
    const lastElapsed = Math.floor(this.#deletionTime() / windowMilliseconds);
    await this.#deleteExpired(Math.min(last, lastElapsed));
  }

  // Deletes the counts of expired windows in order. A new lease holder starts at the oldest window
  // that an earlier holder may not have deleted.
  async #deleteExpired(last: number): Promise<void> {
    const { table, windowMilliseconds } = this.#options;
    const retainedWindows = Math.ceil(
      RETENTION_MILLISECONDS / windowMilliseconds,
    );
    const oldest = last - retainedWindows;
    const overlap = Math.ceil(
      MAXIMUM_REPORT_AGE_MILLISECONDS / windowMilliseconds,
    );
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
          deletes: deletes.slice(0, MAXIMUM_TRANSACTION_ROWS),
        });
        if (
          deleted.kind !== "ok" || deletes.length > MAXIMUM_TRANSACTION_ROWS
        ) return;
      }
      this.#deletedThrough = window;
    }
  }

  async #report(window: number): Promise<void> {
    const { duties, lease, log } = this.#options;
    const counts = await this.#fixCounts(window);
    const duty = lease.getHeldDuty();
    if (counts === undefined || duty === undefined) return;
    const outcome = await duties.reportUsage({ window, counts }, {
      duty,
      guard: () => lease.isStillHeld(duty),
    });
    log.emit("usageWindowReported", {
      window,
      outcome: outcome.kind,
      organisations: Object.keys(counts).length,
    });
    if (outcome.kind !== "accepted") return;
    this.#reported.add(window);
    await this.#writeRow(window, REPORTED_KEY, Buffer.from("1"));
  }

  // Fixes the counts of a window in the store and returns them. Returns undefined when the window
  // was already reported or the store did not confirm the counts.
  async #fixCounts(window: number): Promise<UsageCounts | undefined> {
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
    // A window without rows that ended before this process started has no usage to report.
    const endedAfterStart = (window + 1) * windowMilliseconds > startedAt;
    if (rows.length === 0 && !endedAfterStart) {
      this.#reported.add(window);
      return undefined;
    }
    const decided = rows.find(({ key }) => key === DECIDED_KEY);
    if (decided !== undefined) return readCounts(decided);
    const counts = sumCounts(rows);
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
    // After a conflict or a lost response, the next check reads the counts that were fixed.
    const isDecided = outcome.kind === "ok" &&
      outcome.value.kind === "committed";
    return isDecided ? counts : undefined;
  }

  async #writeRow(window: number, key: string, value: Buffer): Promise<void> {
    await this.#options.table.commit({
      conditions: [],
      puts: [{ table: USAGE_TABLE, partition: String(window), key, value }],
    });
  }
}

function sumCounts(rows: ReadonlyArray<StoredRow>): UsageCounts {
  const sums = new Map<string, number>();
  for (const row of rows) {
    for (const [organisation, count] of Object.entries(readCounts(row))) {
      sums.set(organisation, (sums.get(organisation) ?? 0) + count);
    }
  }
  return Object.fromEntries(sums);
}

// A row that this program did not write counts nothing.
function readCounts({ value }: StoredRow): UsageCounts {
  try {
    const counts = asObject(JSON.parse(value.toString())) ?? {};
    return Object.fromEntries(
      Object.entries(counts).filter(([, count]) => isCount(count)),
    ) as UsageCounts;
  } catch {
    return {};
  }
}
