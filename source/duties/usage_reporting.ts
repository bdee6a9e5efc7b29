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
  /** Wall time before which no window was open. */
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
    const { clock, windowMilliseconds, lateMilliseconds, startedAt } =
      this.#options;
    const now = clock.wall();
    const ready = now - SAVE_SHARE * lateMilliseconds;
    const last = Math.floor(ready / windowMilliseconds) - 1;
    const earliest = Math.max(
      Math.floor(startedAt / windowMilliseconds),
      last - Math.ceil(OLDEST_MILLISECONDS / windowMilliseconds),
    );
    for (let window = earliest; window <= last; window += 1) {
      if (!this.#reported.has(window)) await this.#report(window);
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
    const read = await this.#options.table.read(USAGE_TABLE, {
      partition: String(window),
    });
    if (read.kind !== "ok") return undefined;
    const { rows } = read.value;
    if (rows.some(({ key }) => key === REPORTED_KEY)) {
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
    const outcome = await this.#options.table.commit({
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
