import { MalformedRows } from "../installation/malformed_rows.ts";
import type { EventLog } from "../observability/event_log.ts";
import type {
  DurableTable,
  RowChange,
  StoredRow,
} from "../platform/durable_table.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import {
  type FollowerPace,
  TableFollower,
} from "../platform/table_follower.ts";
import type { Clock } from "../utilities/clock.ts";
import {
  readManifest,
  readStepKey,
  STEP_PARTITION,
  STEP_TABLE,
  type StepManifest,
  toStepKey,
} from "./step_manifest.ts";

/** The stored state of a step. */
export interface StepEntry {
  /** A placeholder until the manifest's row has been read; see `hasManifest`. */
  readonly manifest: StepManifest;
  /** Identity of the process that runs the step. */
  readonly owner: string;
  /** Version of the owner row; 0 while the step has none and the manifest names the owner. */
  readonly ownerVersion: number;
  /** Whether the step has an end row, which a trainer's request to end the step writes. */
  readonly isEnded: boolean;
}

/** Dependencies of a step registry. */
export interface StepRegistryOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  /** Returns how often the store is called; the usual pace when absent. */
  readonly pace?: () => FollowerPace;
  readonly stopping: AbortSignal;
}

/** Mirrors the stored steps in memory and follows their changes. */
export class StepRegistry {
  readonly #options: StepRegistryOptions;
  readonly #follower: TableFollower;
  readonly #entries = new Map<string, StepEntry>();
  readonly #watchers: (() => void)[] = [];
  readonly #malformed: MalformedRows;

  /** @param options - The store and the other dependencies. */
  constructor(options: StepRegistryOptions) {
    this.#options = options;
    const { clock, log, table, stopping } = options;
    this.#malformed = new MalformedRows({
      clock,
      log: (key) => log.emit("rowMalformed", { table: STEP_TABLE.steps, key }),
    });
    this.#follower = new TableFollower({
      clock,
      table,
      name: STEP_TABLE.steps,
      partition: STEP_PARTITION,
      ...(options.pace === undefined ? {} : { pace: options.pace }),
      stopping,
      onSnapshot: (rows) => this.#replaceAll(rows),
      onChanges: (changes) => this.#applyChanges(changes),
      onHealthChange: (problem) =>
        problem === undefined
          ? log.emit("storeRegained", { table: STEP_TABLE.steps })
          : log.emit("storeLost", {
            table: STEP_TABLE.steps,
            reason: problem,
          }),
    });
  }

  /** All steps of which this node has read a row. */
  get entries(): Iterable<StepEntry> {
    return this.#entries.values();
  }

  /** Returns a step by its identifier; undefined when this node has read none of its rows. */
  get(identifier: string): StepEntry | undefined {
    return this.#entries.get(identifier);
  }

  /**
   * Registers a function that is called after each snapshot, each batch of changes and each row that
   * this node has written, whether or not an entry changed.
   */
  watch(onChange: () => void): void {
    this.#watchers.push(onChange);
  }

  /** Follows the table until the node stops. */
  async run(): Promise<void> {
    await this.#follower.run();
  }

  /**
   * Finds a step in memory or, if this node has not read the step yet, in the store.
   * @returns The step; undefined when the store has no such step.
   */
  async find(
    identifier: string,
  ): Promise<PlatformOutcome<StepEntry | undefined>> {
    const known = this.#entries.get(identifier);
    if (known !== undefined) return { kind: "ok", value: known };
    // "0" follows "/" in ASCII, so the range contains the keys that start with `${identifier}/`.
    const outcome = await this.#options.table.read(STEP_TABLE.steps, {
      partition: STEP_PARTITION,
      from: `${identifier}/`,
      to: `${identifier}0`,
    });
    if (outcome.kind !== "ok") return outcome;
    for (const row of outcome.value.rows) this.#applyRow(row);
    return { kind: "ok", value: this.#entries.get(identifier) };
  }

  /** Applies a row that this node has just written. */
  applyWrittenRow(row: StoredRow): void {
    this.#applyRow(row);
    this.#notifyWatchers();
  }

  #replaceAll(rows: ReadonlyArray<StoredRow>): void {
    const kept = new Set(rows.map(({ key }) => readStepKey(key)?.identifier));
    for (const identifier of this.#entries.keys()) {
      if (!kept.has(identifier)) this.#entries.delete(identifier);
    }
    for (const row of rows) this.#applyRow(row);
    this.#notifyWatchers();
  }

  #applyChanges(changes: ReadonlyArray<RowChange>): void {
    for (const change of changes) {
      if (!change.isDeleted) this.#applyRow(change);
      else {
        const key = readStepKey(change.key);
        if (key?.kind === "manifest") this.#entries.delete(key.identifier);
      }
    }
    this.#notifyWatchers();
  }

  // Applies one row. A snapshot is ordered by key, so a step's end row precedes its manifest; changes
  // are ordered by write.
  #applyRow({ key, value, version }: StoredRow): void {
    const parsed = readStepKey(key);
    if (parsed === undefined) return;
    const { identifier, kind } = parsed;
    const entry = this.#entries.get(identifier);
    if (kind === "manifest") {
      const manifest = this.#malformed.decode(key, () => readManifest(value));
      // Ignores a malformed manifest and one that was read before.
      if (manifest === undefined || entry?.manifest.total === manifest.total) {
        return;
      }
      const owner = entry?.ownerVersion ? entry.owner : manifest.owner;
      this.#entries.set(identifier, {
        manifest,
        owner,
        ownerVersion: entry?.ownerVersion ?? 0,
        isEnded: entry?.isEnded ?? false,
      });
      return;
    }
    const entryOrPlaceholder = entry ?? createPlaceholderEntry(identifier);
    if (kind === "end") {
      this.#entries.set(identifier, { ...entryOrPlaceholder, isEnded: true });
    } else if (version > entryOrPlaceholder.ownerVersion) {
      const owner = value.toString();
      this.#entries.set(identifier, {
        ...entryOrPlaceholder,
        owner,
        ownerVersion: version,
      });
    }
  }

  #notifyWatchers(): void {
    for (const onChange of this.#watchers) onChange();
  }
}

/** Whether the manifest of a step has been read. */
export function hasManifest(entry: StepEntry): boolean {
  return entry.manifest.total >= 0;
}

/** Creates the entry of a step whose manifest has not been read, which a total of -1 marks. */
function createPlaceholderEntry(identifier: string): StepEntry {
  return {
    manifest: {
      identifier,
      organisation: "",
      host: "",
      path: "",
      submittedAt: 0,
      total: -1,
      model: "",
      step: 0,
      upload: "",
      chunks: 0,
      owner: "",
    },
    owner: "",
    ownerVersion: 0,
    isEnded: false,
  };
}

/** Returns the table, partition and key of one of a step's rows. */
export function toStepRowPlace(
  identifier: string,
  kind: Parameters<typeof toStepKey>[1],
): {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
} {
  return {
    table: STEP_TABLE.steps,
    partition: STEP_PARTITION,
    key: toStepKey(identifier, kind),
  };
}
