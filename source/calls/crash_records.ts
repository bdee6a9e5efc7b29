import {
  addCrash,
  addTrial,
  type CrashRecord,
  decideSuspect,
  isForgotten,
  NO_CRASHES,
  removeTrial,
  type SuspectDecision,
} from "../decisions/crash_suspicion.ts";
import { MalformedRows } from "../installation/malformed_rows.ts";
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
import { createDeletionTime } from "../utilities/deletion_time.ts";
import { keepAllRunning } from "../utilities/keep_running.ts";
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

interface SavedRecord {
  readonly record: CrashRecord;
  /** Version of the row. */
  readonly version: number;
}

/**
 * Returns what becomes of a record; undefined deletes it. Applied again after an answer of the store was
 * lost, so a second application must change nothing.
 */
type RecordChange = (
  record: CrashRecord | undefined,
) => CrashRecord | undefined;

/**
 * Counts in the store under which contents of calls servers have ended, for all nodes together, and
 * holds calls that crash servers.
 */
export class CrashRecords {
  readonly #options: CrashRecordsOptions;
  readonly #deletionTime: () => number;
  readonly #follower: TableFollower;
  readonly #malformed: MalformedRows;
  /** Records by content, as the store has them. */
  readonly #saved = new Map<string, SavedRecord>();
  /** Changes by content that this node has not saved yet. */
  readonly #unsaved = new Map<string, Set<RecordChange>>();

  /** @param options - The store, the clock and the duty lease. */
  constructor(options: CrashRecordsOptions) {
    this.#options = options;
    const { clock, log, table, stopping, pace } = options;
    this.#deletionTime = createDeletionTime(clock);
    this.#malformed = new MalformedRows({
      clock,
      log: (content) => log.emit("crashRecordMalformed", { content }),
    });
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
    return this.#saved.size + this.#unsaved.size;
  }

  /** Decides whether a call with a content may be sent to a server of a service. */
  decide(content: string, service: string): SuspectDecision {
    const record = this.#find(content);
    if (record === undefined) return { kind: "send" };
    const { clock, findServers } = this.#options;
    return decideSuspect(record, {
      now: clock.wall(),
      servers: findServers(service),
    });
  }

  /** Whether a server has ended under calls with a content, and none was answered since. */
  isSuspect(content: string): boolean {
    return this.#find(content) !== undefined;
  }

  /**
   * Claims the trial of a content for one call of this node.
   * @returns The time of the trial; undefined unless the store confirmed that no other call has it.
   */
  async claimTrial(content: string): Promise<number | undefined> {
    const { clock, log } = this.#options;
    const saved = this.#saved.get(content);
    if (saved === undefined) return undefined;
    const triedAt = clock.wall();
    const { record, version } = saved;
    const outcome = await this.#commit(content, {
      record: addTrial(record, triedAt),
      version,
    });
    if (outcome === "committed") {
      log.emit("crashTrialStarted", {
        content,
        crashes: record.crashes.length,
        trials: record.trials + 1,
      });
      return triedAt;
    }
    // The store may have applied the claim although its answer was lost.
    if (outcome === "failed") this.returnTrial(content, triedAt);
    return undefined;
  }

  /** Returns a trial that showed nothing, so that another call can have it. */
  returnTrial(content: string, triedAt: number): void {
    void this.#update(
      content,
      (record) =>
        record === undefined ? undefined : removeTrial(record, triedAt),
    );
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
    const crashes = this.#find(content)?.crashes.length ?? 0;
    this.#options.log.emit("crashingCallsHeld", { content, crashes });
  }

  /** Records that a server completed a call with a content, which so does not crash servers. */
  recordSuccess(content: string): void {
    const record = this.#find(content);
    if (record === undefined) return;
    const crashes = record.crashes.length;
    this.#options.log.emit("crashRecordCleared", { content, crashes });
    void this.#update(content, () => undefined);
  }

  /** Follows the records until the node stops; deletes old ones while it holds the duty lease. */
  async run(): Promise<void> {
    await keepAllRunning({
      followCrashRecords: () => this.#follower.run(),
      cleanCrashRecords: () => this.#clean(),
    }, this.#options);
  }

  // Returns the record of a content with the changes that this node has not saved yet.
  #find(content: string): CrashRecord | undefined {
    let record = this.#saved.get(content)?.record;
    for (const change of this.#unsaved.get(content) ?? []) {
      record = change(record);
    }
    return record;
  }

  // Applies a change at once on this node, and then in the store until it has it.
  async #update(content: string, change: RecordChange): Promise<void> {
    const unsaved = this.#unsaved.get(content) ?? new Set();
    this.#unsaved.set(content, unsaved.add(change));
    await this.#save(content, change);
    unsaved.delete(change);
    if (unsaved.size === 0) this.#unsaved.delete(content);
  }

  async #save(content: string, change: RecordChange): Promise<void> {
    const { clock, stopping, log } = this.#options;
    const until = clock.monotonic() + WRITE_LIMIT_MILLISECONDS;
    for (;;) {
      const saved = this.#saved.get(content);
      const record = change(saved?.record);
      if (record === saved?.record) return;
      const version = saved?.version ?? 0;
      const outcome = await this.#commit(content, { record, version });
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
    { record, version }: {
      readonly record: CrashRecord | undefined;
      readonly version: number;
    },
  ): Promise<"committed" | "conflict" | "failed"> {
    const place = { table: TABLE, partition: PARTITION, key: content };
    const outcome = await this.#options.table.commit({
      conditions: [{ ...place, version }],
      puts: record === undefined
        ? []
        : [{ ...place, value: writeCrashRecord(record) }],
      deletes: record === undefined ? [place] : [],
    });
    if (outcome.kind !== "ok") return "failed";
    if (outcome.value.kind === "conflict") {
      const row = outcome.value.rows.find(({ key }) => key === content);
      if (row === undefined) this.#saved.delete(content);
      else this.#put(row);
      return "conflict";
    }
    if (record === undefined) this.#saved.delete(content);
    else this.#saved.set(content, { record, version: outcome.value.version });
    return "committed";
  }

  #replace(rows: ReadonlyArray<StoredRow>): void {
    this.#saved.clear();
    for (const row of rows) this.#put(row);
  }

  #apply(changes: ReadonlyArray<RowChange>): void {
    for (const change of changes) {
      const version = this.#saved.get(change.key)?.version ?? 0;
      if (change.version < version) continue;
      if (change.isDeleted) this.#saved.delete(change.key);
      else this.#put(change);
    }
  }

  #put({ key, value, version }: StoredRow): void {
    const record = this.#malformed.decode(key, () => readCrashRecord(value));
    this.#saved.set(key, { record: record ?? NO_CRASHES, version });
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
      const now = this.#deletionTime();
      const old = [...this.#saved].filter(([, { record }]) =>
        isForgotten(record, now)
      );
      if (old.length === 0) continue;
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
