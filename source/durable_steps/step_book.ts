import type { EventLog } from "../observability/event_log.ts";
import type {
  DurableTable,
  RowChange,
  StoredRow,
} from "../platform/durable_table.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import { TableFollower } from "../platform/table_follower.ts";
import type { Clock } from "../utilities/clock.ts";
import {
  readManifest,
  readStepKey,
  STEP_PARTITION,
  STEP_TABLE,
  type StepManifest,
  toStepKey,
} from "./step_manifest.ts";

/** A step as the store has it. */
export interface StepEntry {
  readonly manifest: StepManifest;
  /** Process that runs the step. */
  readonly owner: string;
  /** Version of the owner's row; 0 while the manifest names the owner. */
  readonly ownerVersion: number;
  /** Whether its trainer has ended it, or its list is whole. */
  readonly isEnded: boolean;
}

/** What a step book works with. */
export interface StepBookOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  readonly stopping: AbortSignal;
}

/** The steps that the store has, kept up to date. */
export class StepBook {
  readonly #options: StepBookOptions;
  readonly #follower: TableFollower;
  readonly #entries = new Map<string, StepEntry>();
  readonly #watchers: (() => void)[] = [];

  /** @param options - The store. */
  constructor(options: StepBookOptions) {
    this.#options = options;
    const { clock, log, table, stopping } = options;
    this.#follower = new TableFollower({
      clock,
      table,
      name: STEP_TABLE.steps,
      partition: STEP_PARTITION,
      stopping,
      onSnapshot: (rows) => this.#replace(rows),
      onChanges: (changes) => this.#apply(changes),
      onHealth: (problem) =>
        problem === undefined
          ? log.emit("storeRegained", { table: STEP_TABLE.steps })
          : log.emit("storeLost", {
            table: STEP_TABLE.steps,
            reason: problem,
          }),
    });
  }

  /** All known steps. */
  get entries(): Iterable<StepEntry> {
    return this.#entries.values();
  }

  /** A step by its identifier, as far as this node has heard of it. */
  get(identifier: string): StepEntry | undefined {
    return this.#entries.get(identifier);
  }

  /** Calls a function at each change. */
  watch(onChange: () => void): void {
    this.#watchers.push(onChange);
  }

  /** Follows the table until the node stops. */
  async run(): Promise<void> {
    await this.#follower.run();
  }

  /** Finds a step, asking the store about one that is not known here; undefined when it has none. */
  async find(
    identifier: string,
  ): Promise<PlatformOutcome<StepEntry | undefined>> {
    const known = this.#entries.get(identifier);
    if (known !== undefined) return { kind: "ok", value: known };
    const outcome = await this.#options.table.read(STEP_TABLE.steps, {
      partition: STEP_PARTITION,
      from: `${identifier}/`,
      to: `${identifier}0`,
    });
    if (outcome.kind !== "ok") return outcome;
    for (const row of outcome.value.rows) this.#put(row);
    return { kind: "ok", value: this.#entries.get(identifier) };
  }

  /** Notes a row that this node has just written. */
  noteWritten(row: StoredRow): void {
    this.#put(row);
    this.#tell();
  }

  #replace(rows: ReadonlyArray<StoredRow>): void {
    const kept = new Set(rows.map(({ key }) => readStepKey(key)?.identifier));
    for (const identifier of this.#entries.keys()) {
      if (!kept.has(identifier)) this.#entries.delete(identifier);
    }
    for (const row of rows) this.#put(row);
    this.#tell();
  }

  #apply(changes: ReadonlyArray<RowChange>): void {
    for (const change of changes) {
      if (!change.isDeleted) this.#put(change);
      else {
        const key = readStepKey(change.key);
        if (key?.kind === "manifest") this.#entries.delete(key.identifier);
      }
    }
    this.#tell();
  }

  // Rows come in the order of their keys or of their writing; an end may come before its manifest.
  #put({ key, value, version }: StoredRow): void {
    const parsed = readStepKey(key);
    if (parsed === undefined) return;
    const { identifier, kind } = parsed;
    const entry = this.#entries.get(identifier);
    if (kind === "manifest") {
      const manifest = readManifest(value);
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
    const base = entry ?? toUnknownEntry(identifier);
    if (kind === "end") {
      this.#entries.set(identifier, { ...base, isEnded: true });
    } else if (version > base.ownerVersion) {
      const owner = value.toString();
      this.#entries.set(identifier, { ...base, owner, ownerVersion: version });
    }
  }

  #tell(): void {
    for (const onChange of this.#watchers) onChange();
  }
}

/** Whether a step's manifest was read yet. */
export function isWhole(entry: StepEntry): boolean {
  return entry.manifest.total >= 0;
}

function toUnknownEntry(identifier: string): StepEntry {
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

/** Returns the place of one of a step's rows. */
export function toStepPlace(
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
