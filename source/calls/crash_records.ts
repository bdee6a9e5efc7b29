import {
  addCrash,
  addTrial,
  type CrashRecord,
  decideSuspect,
  isForgotten,
  NO_CRASHES,
  type SuspectDecision,
} from "../decisions/crash_suspicion.ts";
import type { DutyLease } from "../duties/duty_lease.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { EventLog } from "../observability/event_log.ts";
import { deleteRows } from "../platform/delete_rows.ts";
import type {
  DurableTable,
  RowChange,
  StoredRow,
} from "../platform/durable_table.ts";
import {
  type FollowerPace,
  TableFollower,
} from "../platform/table_follower.ts";
import type { Clock } from "../utilities/clock.ts";
import { readCrashRecord, writeCrashRecord } from "./crash_record_row.ts";

const TABLE = "crashes";
const PARTITION = "";
/** Time for which the store holds a call that waits for changes, which are rare. */
const LONG_POLL_MILLISECONDS = 2000;
const WRITE_RETRY_MILLISECONDS = 250;
/** Time after which a change that the store did not accept is given up. */
const WRITE_LIMIT_MILLISECONDS = 30_000;
const CLEANING_INTERVAL_MILLISECONDS = 60_000;
/** Maximum number of rows deleted at once. */
const MAXIMUM_DELETIONS = 90;

/** Dependencies of crash records. */
export interface CrashRecordsOptions {
  /** Clock whose wall time is close to that of the other nodes. */
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  readonly lease: Pick<DutyLease, "getHeldDuty">;
  /** Returns the servers of a service that take requests. */
  readonly findServers: (service: string) => ReadonlyArray<BackendServerEntry>;
  /** How often the store is called at present. */
  readonly pace: () => FollowerPace;
  readonly stopping: AbortSignal;
}

interface KnownRecord {
  readonly record: CrashRecord;
  /** Version of the row; 0 if the store does not have it yet. */
  readonly version: number;
}

/** Returns what becomes of a record; undefined deletes it. */
type RecordChange = (
  record: CrashRecord | undefined,
) => CrashRecord | undefined;

/**
 * Counts in the store under which contents of calls servers have ended, for all nodes together, and
 * holds calls that crash servers.
 */
export class CrashRecords {
  readonly #options: CrashRecordsOptions;
  readonly #follower: TableFollower;
  readonly #known = new Map<string, KnownRecord>();

  /** @param options - The store, the clock and the duty lease. */
  constructor(options: CrashRecordsOptions) {
    this.#options = options;
    const { clock, table, stopping, pace } = options;
    this.#follower = new TableFollower({
      clock,
      table,
      name: TABLE,
      partition: PARTITION,
      pace: () => ({
        ...pace(),
        longPollMilliseconds: LONG_POLL_MILLISECONDS,
      }),
      stopping,
      onSnapshot: (rows) => this.#replace(rows),
      onChanges: (changes) => this.#apply(changes),
      onHealthChange: (problem) => this.#logHealth(problem),
    });
  }

  /** Number of contents under which servers have ended. */
  get size(): number {
    return this.#known.size;
  }

  /** Decides whether a call with a content may be sent to a server of a service. */
  decide(content: string, service: string): SuspectDecision {
    const { clock, findServers } = this.#options;
    return decideSuspect(this.#known.get(content)?.record, {
      now: clock.wall(),
      servers: findServers(service),
    });
  }

  /** Whether a server has ended under calls with a content, and none was answered since. */
  isSuspect(content: string): boolean {
    return this.#known.has(content);
  }

  /**
   * Claims the trial of a content for one call of this node.
   * @returns Whether the store confirmed that no other call has it.
   */
  async claimTrial(content: string): Promise<boolean> {
    const { clock, log } = this.#options;
    const known = this.#known.get(content);
    if (known === undefined) return true;
    const now = clock.wall();
    const outcome = await this.#commit(
      content,
      addTrial(known.record, now),
      known.version,
    );
    if (outcome !== "committed") return false;
    log.emit("crashTrialStarted", {
      content,
      crashes: known.record.crashes.length,
      trials: known.record.trials + 1,
    });
    return true;
  }

  /** Returns the trial of a call that was not sent to a server. */
  returnTrial(content: string): void {
    void this.#update(content, (record) =>
      record === undefined ? undefined : {
        ...record,
        trials: Math.max(0, record.trials - 1),
        triedAt: 0,
      });
  }

  /** Records that a server ended while it ran a call with a content. */
  recordCrash(
    content: string,
    { identifier, startedAt, service }: BackendServerEntry,
  ): void {
    const at = this.#options.clock.wall();
    void this.#update(
      content,
      (record) => addCrash(record, { server: identifier, startedAt, at }),
    );
    if (this.decide(content, service).kind !== "reject") return;
    const crashes = this.#known.get(content)?.record.crashes.length ?? 0;
    this.#options.log.emit("crashingCallsHeld", { content, crashes });
  }

  /** Records that a server completed a call with a content, which so does not crash servers. */
  recordSuccess(content: string): void {
    const known = this.#known.get(content);
    if (known === undefined) return;
    const crashes = known.record.crashes.length;
    this.#options.log.emit("crashRecordCleared", { content, crashes });
    void this.#update(content, () => undefined);
  }

  /** Follows the records until the node stops; deletes old ones while it holds the duty lease. */
  async run(): Promise<void> {
    await Promise.all([this.#follower.run(), this.#clean()]);
  }

  // Applies a change at once on this node and then in the store, as often as other nodes change the
  // row meanwhile.
  async #update(content: string, change: RecordChange): Promise<void> {
    const { clock, stopping, log } = this.#options;
    const until = clock.monotonic() + WRITE_LIMIT_MILLISECONDS;
    for (;;) {
      const known = this.#known.get(content);
      const changed = change(known?.record);
      if (changed === known?.record && (known?.version ?? 1) > 0) return;
      const version = known?.version ?? 0;
      if (changed === undefined) this.#known.delete(content);
      else this.#known.set(content, { record: changed, version });
      const outcome = await this.#commit(content, changed, version);
      if (outcome === "committed") return;
      if (outcome === "conflict") continue;
      if (stopping.aborted || clock.monotonic() > until) {
        return log.emit("crashRecordNotSaved", { content });
      }
      await clock.sleep(WRITE_RETRY_MILLISECONDS, stopping);
    }
  }

  // Writes or deletes a row that has a version; takes over what other nodes made of it.
  async #commit(
    content: string,
    record: CrashRecord | undefined,
    version: number,
  ): Promise<"committed" | "conflict" | "failed"> {
    const place = { table: TABLE, partition: PARTITION, key: content };
    const outcome = await this.#options.table.commit({
      conditions: [{ ...place, version }],
      puts: record === undefined
        ? []
        : [{ ...place, value: writeCrashRecord(record) }],
      deletes: record === undefined && version > 0 ? [place] : [],
    });
    if (outcome.kind !== "ok") return "failed";
    if (outcome.value.kind === "conflict") {
      const row = outcome.value.rows.find(({ key }) => key === content);
      if (row === undefined) this.#known.delete(content);
      else this.#put(row);
      return "conflict";
    }
    if (record === undefined) this.#known.delete(content);
    else this.#known.set(content, { record, version: outcome.value.version });
    return "committed";
  }

  #replace(rows: ReadonlyArray<StoredRow>): void {
    const unsaved = [...this.#known].filter(([, { version }]) => version === 0);
    this.#known.clear();
    for (const [content, known] of unsaved) this.#known.set(content, known);
    for (const row of rows) this.#put(row);
  }

  #apply(changes: ReadonlyArray<RowChange>): void {
    for (const change of changes) {
      const version = this.#known.get(change.key)?.version ?? 0;
      if (change.version < version) continue;
      if (change.isDeleted) this.#known.delete(change.key);
      else this.#put(change);
    }
  }

  #put({ key, value, version }: StoredRow): void {
    const record = readCrashRecord(value);
    if (record === undefined) {
      this.#options.log.emit("crashRecordMalformed", { content: key });
    }
    this.#known.set(key, { record: record ?? NO_CRASHES, version });
  }

  #logHealth(problem: string | undefined): void {
    const { log } = this.#options;
    if (problem === undefined) log.emit("storeRegained", { table: TABLE });
    else log.emit("storeLost", { table: TABLE, reason: problem });
  }

  async #clean(): Promise<void> {
    const { clock, stopping, lease, table } = this.#options;
    while (!stopping.aborted) {
      await clock.sleep(CLEANING_INTERVAL_MILLISECONDS, stopping);
      if (lease.getHeldDuty() === undefined) continue;
      const now = clock.wall();
      const old = [...this.#known].filter(([, { record }]) =>
        isForgotten(record, now)
      );
      await deleteRows(
        table,
        old.slice(0, MAXIMUM_DELETIONS).map(([key]) => ({
          table: TABLE,
          partition: PARTITION,
          key,
        })),
      );
    }
  }
}
