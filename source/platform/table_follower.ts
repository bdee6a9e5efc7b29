import { takeTimeStamp, type TimeStamp } from "../control/time_stamp.ts";
import type { Clock } from "../utilities/clock.ts";
import type { DurableTable, RowChange, StoredRow } from "./durable_table.ts";

/** How long the store holds a call that waits for changes; bounds the age of a view. */
const WAIT_MILLISECONDS = 1000;
const FIRST_PAUSE_MILLISECONDS = 50;
const LONGEST_PAUSE_MILLISECONDS = 400;
const PAGE_ROWS = 500;

/** What a follower reads, and who is told. */
export interface TableFollowerOptions {
  readonly clock: Clock;
  readonly table: DurableTable;
  readonly name: string;
  /** The partition in which all its rows lie. */
  readonly partition: string;
  /** Least time between two answers with changes; 0 when absent. */
  readonly paceMilliseconds?: number;
  /** Gets all rows after a gap. */
  readonly onSnapshot: (rows: ReadonlyArray<StoredRow>) => void;
  /** Gets changes in order. */
  readonly onChanges: (changes: ReadonlyArray<RowChange>) => void;
  /** Told when the store stops answering, with the reason, and when it answers again. */
  readonly onHealth: (problem: string | undefined) => void;
  readonly stopping: AbortSignal;
}

/**
 * Keeps a copy of a table that has one partition: reads it whole, then waits for changes.
 * @example
 * ```ts
 * const follower = new TableFollower({ ...options, name: "op" });
 * void follower.run();
 * ```
 */
export class TableFollower {
  readonly #options: TableFollowerOptions;
  #version: number | undefined;
  #confirmed: TimeStamp | undefined;
  #pause = FIRST_PAUSE_MILLISECONDS;
  #isFailing = false;

  /** @param options - What is followed. */
  constructor(options: TableFollowerOptions) {
    this.#options = options;
  }

  /** When the last call was sent whose answer the view includes; undefined before the first. */
  get confirmed(): TimeStamp | undefined {
    return this.#confirmed;
  }

  /** Follows until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options;
    while (!stopping.aborted) {
      const sent = takeTimeStamp(clock);
      const problem = this.#version === undefined
        ? await this.#read()
        : await this.#follow(this.#version);
      this.#note(problem);
      if (problem === undefined) {
        this.#confirmed = sent;
        this.#pause = FIRST_PAUSE_MILLISECONDS;
      } else {
        await clock.sleep(this.#pause, stopping);
        this.#pause = Math.min(2 * this.#pause, LONGEST_PAUSE_MILLISECONDS);
      }
    }
  }

  async #read(): Promise<string | undefined> {
    const { table, name, partition, onSnapshot } = this.#options;
    const rows: StoredRow[] = [];
    let version: number | undefined;
    let from: string | undefined;
    for (;;) {
      const outcome = await table.read(name, {
        partition,
        maximum: PAGE_ROWS,
        ...(from === undefined ? {} : { from }),
      });
      if (outcome.kind !== "ok") return outcome.reason;
      rows.push(...outcome.value.rows);
      // Changes between two pages come again with the first follow call.
      version ??= outcome.value.version;
      const last = outcome.value.rows.at(-1);
      if (!outcome.value.hasMore || last === undefined) break;
      from = `${last.key}\u0000`;
    }
    this.#version = version;
    onSnapshot(rows);
    return undefined;
  }

  async #follow(after: number): Promise<string | undefined> {
    const { clock, table, name, onChanges } = this.#options;
    const askedAt = clock.monotonic();
    const outcome = await table.follow(name, {
      after,
      waitMilliseconds: WAIT_MILLISECONDS,
    });
    if (outcome.kind !== "ok") {
      // What was missed meanwhile is read whole: it may be much.
      this.#version = undefined;
      return outcome.reason;
    }
    if (outcome.value.kind === "expired") {
      this.#version = undefined;
      return await this.#read();
    }
    const { changes, version } = outcome.value;
    this.#version = Math.max(after, version);
    if (changes.length > 0) onChanges(changes);
    await this.#pace(changes.length > 0, {
      hasAdvanced: version > after,
      askedAt,
    });
    return undefined;
  }

  // An answer at once that brings nothing new must not be asked for again at once.
  async #pace(
    hasChanges: boolean,
    answer: { readonly hasAdvanced: boolean; readonly askedAt: number },
  ): Promise<void> {
    const { clock, stopping, paceMilliseconds = 0 } = this.#options;
    const took = clock.monotonic() - answer.askedAt;
    const isIdle = !answer.hasAdvanced && took < FIRST_PAUSE_MILLISECONDS;
    const pause = isIdle ? FIRST_PAUSE_MILLISECONDS : 0;
    const wait = Math.max(pause, hasChanges ? paceMilliseconds : 0);
    if (wait > 0) await clock.sleep(wait, stopping);
  }

  #note(problem: string | undefined): void {
    const isFailing = problem !== undefined;
    if (isFailing === this.#isFailing) return;
    this.#isFailing = isFailing;
    this.#options.onHealth(problem);
  }
}
