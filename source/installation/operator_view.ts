import { isFresh } from "../control/time_stamp.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable, RowChange } from "../platform/durable_table.ts";
import {
  type FollowerPace,
  TableFollower,
} from "../platform/table_follower.ts";
import type { Clock } from "../utilities/clock.ts";
import type { Configuration } from "./configuration.ts";
import { MalformedRows } from "./malformed_rows.ts";

/** The content of one row of the operator's table. */
export type OperatorRow =
  | {
    readonly kind: "configuration";
    readonly configuration: Configuration;
  }
  | {
    readonly kind: "namedVersion";
    readonly model: string;
    readonly version: number;
  }
  /** The servers of a failure domain get no requests until the row is deleted. */
  | { readonly kind: "evacuation"; readonly failureDomain: string }
  /** Fields of the row are missing or have the wrong type. */
  | { readonly kind: "malformed"; readonly key: string }
  /** The row has an unknown key and is ignored. */
  | { readonly kind: "other" };

/**
 * Maximum age of the view of keys, as a share of the time within which the withdrawal of a key must
 * take effect; the rest of that time is for requests that are already running.
 */
const KEY_VIEW_AGE_SHARE = 0.7;

/** Dependencies of an operator view. */
export interface OperatorViewOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  /** Name of the table that the operator writes. */
  readonly tableName: string;
  /** Parses a row. */
  readonly readRow: (key: string, value: Buffer) => OperatorRow;
  /** Maximum time after a key's withdrawal for which requests with it may still run. */
  readonly keyWithdrawalMilliseconds: number;
  /** Returns how often the store is called; the usual pace when absent. */
  readonly pace?: () => FollowerPace;
  readonly stopping: AbortSignal;
}

/**
 * Mirrors the operator's table: the configuration, and the newest published weight version of each
 * model.
 * @example
 * ```ts
 * const view = new OperatorView(options);
 * view.watch(() => applyLimits(view.configuration));
 * void view.run();
 * ```
 */
export class OperatorView {
  readonly #options: OperatorViewOptions;
  readonly #follower: TableFollower;
  readonly #versions = new Map<string, number>();
  /** Evacuated failure domains by the key of their row. */
  readonly #evacuations = new Map<string, string>();
  /** Versions of the store at which evacuations ended, by failure domain. */
  readonly #evacuationEnds = new Map<string, number>();
  readonly #watchers: (() => void)[] = [];
  readonly #malformed: MalformedRows;
  #configuration: Configuration | undefined;

  /** @param options - The store and the parser of its rows. */
  constructor(options: OperatorViewOptions) {
    this.#options = options;
    const { clock, log, table, tableName, stopping } = options;
    this.#malformed = new MalformedRows({
      clock,
      log: (key) => log.emit("operatorRowMalformed", { key }),
    });
    this.#follower = new TableFollower({
      clock,
      table,
      name: tableName,
      partition: "",
      ...(options.pace === undefined ? {} : { pace: options.pace }),
      stopping,
      onSnapshot: (rows) => {
        // Evacuations whose rows are gone have ended.
        for (const domain of this.#evacuations.values()) {
          this.#evacuationEnds.set(domain, Infinity);
        }
        this.#evacuations.clear();
        this.#apply(rows.map((row) => ({ ...row, isDeleted: false })));
      },
      onChanges: (changes) => this.#apply(changes),
      onHealthChange: (problem) =>
        problem === undefined
          ? log.emit("storeRegained", { table: tableName })
          : log.emit("storeLost", { table: tableName, reason: problem }),
    });
  }

  /** The configuration with the highest version that was read; undefined before the first. */
  get configuration(): Configuration | undefined {
    return this.#configuration;
  }

  /** The newest published weight version by model. */
  get namedVersions(): ReadonlyMap<string, number> {
    return this.#versions;
  }

  /** Names of the failure domains whose servers must get no requests. */
  get evacuatedDomains(): ReadonlySet<string> {
    return new Set(this.#evacuations.values());
  }

  /**
   * Versions of the store at which the rows of ended evacuations were deleted, by failure domain;
   * Infinity for an evacuation whose end was seen only by its missing row.
   */
  get evacuationEnds(): ReadonlyMap<string, number> {
    return this.#evacuationEnds;
  }

  /**
   * Whether the view is recent enough to reject withdrawn keys within `keyWithdrawalMilliseconds`.
   */
  isKeyViewFresh(): boolean {
    const { confirmedAt } = this.#follower;
    const { clock, keyWithdrawalMilliseconds } = this.#options;
    if (confirmedAt === undefined) return false;
    const maximumAgeMilliseconds = KEY_VIEW_AGE_SHARE *
      keyWithdrawalMilliseconds;
    return isFresh(confirmedAt, clock, maximumAgeMilliseconds);
  }

  /** Returns the time since the store last confirmed the view; undefined before the first read. */
  ageMilliseconds(): number | undefined {
    const { confirmedAt } = this.#follower;
    return confirmedAt === undefined
      ? undefined
      : this.#options.clock.monotonic() - confirmedAt.monotonic;
  }

  /**
   * Registers a function that is called after each snapshot and each batch of changes, whether or
   * not the view changed.
   */
  watch(onChange: () => void): void {
    this.#watchers.push(onChange);
  }

  /** Follows the operator's table until the node stops. */
  async run(): Promise<void> {
    await this.#follower.run();
  }

  #apply(changes: ReadonlyArray<RowChange>): void {
    for (const change of changes) {
      // When another row is deleted, the values that were read from it stay in force.
      if (change.isDeleted) this.#endEvacuation(change);
      else this.#applyRow(change);
    }
    for (const onChange of this.#watchers) onChange();
  }

  #endEvacuation({ key, version }: RowChange): void {
    const domain = this.#evacuations.get(key);
    if (domain === undefined) return;
    this.#evacuations.delete(key);
    this.#evacuationEnds.set(domain, version);
  }

  #applyRow({ key, value }: RowChange): void {
    const row = this.#malformed.decode(key, () => {
      const read = this.#options.readRow(key, value);
      return read.kind === "malformed" ? undefined : read;
    });
    if (row === undefined) return;
    if (row.kind === "namedVersion") {
      const known = this.#versions.get(row.model) ?? 0;
      this.#versions.set(row.model, Math.max(known, row.version));
    } else if (row.kind === "configuration") {
      this.#adopt(row.configuration);
    } else if (row.kind === "evacuation") {
      this.#evacuations.set(key, row.failureDomain);
      this.#evacuationEnds.delete(row.failureDomain);
    }
  }

  // Within one process, an older configuration never replaces a newer one.
  #adopt(configuration: Configuration): void {
    const known = this.#configuration?.version ?? -1;
    if (configuration.version <= known) return;
    this.#configuration = configuration;
    this.#options.log.emit("configurationInForce", {
      version: configuration.version,
      routes: configuration.routes.length,
    });
  }
}
