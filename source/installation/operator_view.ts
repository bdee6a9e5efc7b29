import { isFresh } from "../control/time_stamp.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable, RowChange } from "../platform/durable_table.ts";
import { TableFollower } from "../platform/table_follower.ts";
import type { Clock } from "../utilities/clock.ts";
import type { Configuration } from "./configuration.ts";

/** What one row of the operator says. */
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
  | { readonly kind: "malformed"; readonly key: string }
  | { readonly kind: "other" };

/** Share of the bound on withdrawn keys that a view may be old; the rest covers requests under way. */
const KEY_VIEW_SHARE = 0.7;

/** What an operator view works with. */
export interface OperatorViewOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  /** Name of the table that the operator writes. */
  readonly tableName: string;
  readonly readRow: (key: string, value: Buffer) => OperatorRow;
  /** From the withdrawal of a key until no request with it may run. */
  readonly keyWithdrawalMilliseconds: number;
  readonly stopping: AbortSignal;
}

/**
 * The operator's configuration and the weight versions that trainers named, as the store has them.
 * @example
 * ```ts
 * const view = new OperatorView(options);
 * void view.run();
 * const configuration = view.configuration;
 * ```
 */
export class OperatorView {
  readonly #options: OperatorViewOptions;
  readonly #follower: TableFollower;
  readonly #versions = new Map<string, number>();
  readonly #watchers: (() => void)[] = [];
  #configuration: Configuration | undefined;

  /** @param options - The store and how its rows are read. */
  constructor(options: OperatorViewOptions) {
    this.#options = options;
    const { clock, log, table, tableName, stopping } = options;
    this.#follower = new TableFollower({
      clock,
      table,
      name: tableName,
      partition: "",
      stopping,
      onSnapshot: (rows) =>
        this.#apply(rows.map((row) => ({ ...row, isDeleted: false }))),
      onChanges: (changes) => this.#apply(changes),
      onHealth: (problem) =>
        problem === undefined
          ? log.emit("storeRegained", { table: tableName })
          : log.emit("storeLost", { table: tableName, reason: problem }),
    });
  }

  /** The configuration in force; undefined until the first was read. */
  get configuration(): Configuration | undefined {
    return this.#configuration;
  }

  /** The newest version that was named of each model. */
  get namedVersions(): ReadonlyMap<string, number> {
    return this.#versions;
  }

  /** Whether no withdrawal of a key can have been missed for longer than allowed. */
  isKeyViewFresh(): boolean {
    const { confirmed } = this.#follower;
    const { clock, keyWithdrawalMilliseconds } = this.#options;
    if (confirmed === undefined) return false;
    const bound = KEY_VIEW_SHARE * keyWithdrawalMilliseconds;
    return isFresh(confirmed, clock, bound);
  }

  /** Age of what the view holds; undefined before the first reading. */
  ageMilliseconds(): number | undefined {
    const { confirmed } = this.#follower;
    return confirmed === undefined
      ? undefined
      : this.#options.clock.monotonic() - confirmed.monotonic;
  }

  /** Calls a function at each change. */
  watch(onChange: () => void): void {
    this.#watchers.push(onChange);
  }

  /** Follows the operator's table until the node stops. */
  async run(): Promise<void> {
    await this.#follower.run();
  }

  #apply(changes: ReadonlyArray<RowChange>): void {
    for (const change of changes) {
      if (!change.isDeleted) this.#applyRow(change);
    }
    for (const onChange of this.#watchers) onChange();
  }

  #applyRow({ key, value }: RowChange): void {
    const { readRow, log } = this.#options;
    const row = readRow(key, value);
    if (row.kind === "malformed") {
      log.emit("operatorRowMalformed", { key });
    } else if (row.kind === "namedVersion") {
      const known = this.#versions.get(row.model) ?? 0;
      this.#versions.set(row.model, Math.max(known, row.version));
    } else if (row.kind === "configuration") {
      this.#adopt(row.configuration);
    }
  }

  // An older configuration never comes back within the life of a process.
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
