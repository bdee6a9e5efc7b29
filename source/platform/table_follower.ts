import { takeTimeStamp, type TimeStamp } from "../control/time_stamp.ts";
import type { Clock } from "../utilities/clock.ts";
import type {
  DurableTable,
  RowChange,
  StoredRow,
  TableChanges,
} from "./durable_table.ts";

/**
 * Time for which the store holds a call that waits for changes, unless the options state another;
 * limits the age of the copy.
 */
const LONG_POLL_MILLISECONDS = 1000;
/**
 * First backoff after a failed call, and also the pause after an answer that arrives sooner than
 * this without a newer version.
 */
const MINIMUM_PAUSE_MILLISECONDS = 50;
/** Maximum backoff between failed calls; a call that took longer has been a pause already. */
const MAXIMUM_PAUSE_MILLISECONDS = 400;
const PAGE_ROWS = 500;

/** How often a follower calls the store. */
export interface FollowerPace {
  /** Time for which the store holds a call that waits for changes. */
  readonly longPollMilliseconds: number;
  /** Minimum pause after an answer with changes. */
  readonly pauseAfterChangesMilliseconds: number;
}

/** Pace of a follower that must see each change at once. */
export const USUAL_PACE: FollowerPace = {
  longPollMilliseconds: LONG_POLL_MILLISECONDS,
  pauseAfterChangesMilliseconds: 0,
};

/** Table that a follower reads, and the callbacks that receive its rows. */
export interface TableFollowerOptions {
  readonly clock: Clock;
  readonly table: DurableTable;
  readonly name: string;
  /** Partition that holds all rows of the table. */
  readonly partition: string;
  /** Returns how often the store is called; the usual pace when absent. */
  readonly pace?: () => FollowerPace;
  /** Receives all rows at the start and after missed changes. */
  readonly onSnapshot: (rows: ReadonlyArray<StoredRow>) => void;
  /** Receives changes in order. */
  readonly onChanges: (changes: ReadonlyArray<RowChange>) => void;
  /** Called with a reason when calls start to fail, with undefined when they succeed again. */
  readonly onHealthChange: (problem: string | undefined) => void;
  readonly stopping: AbortSignal;
}

/**
 * Maintains a copy of a table that has one partition: reads all rows, then waits for changes.
 * @example
 * ```ts
 * const follower = new TableFollower({ ...options, name: "op" });
 * void follower.run();
 * ```
 */
export class TableFollower {
  readonly #options: TableFollowerOptions;
  #version: number | undefined;
  #confirmedAt: TimeStamp | undefined;
  #backoffMilliseconds = MINIMUM_PAUSE_MILLISECONDS;
  #isFailing = false;

  /** @param options - Table to follow and callbacks. */
  constructor(options: TableFollowerOptions) {
    this.#options = options;
  }

  /**
   * Time at which the newest call whose answer the copy includes was sent; undefined before the
   * first such answer.
   */
  get confirmedAt(): TimeStamp | undefined {
    return this.#confirmedAt;
  }

  /**
   * Reads the changes until now on a call of its own, as the call that waits for them may hang or this
   * process may have stood still.
   * @returns Whether the copy includes all changes that were made before.
   */
  async confirm(): Promise<boolean> {
    const { clock, table, name } = this.#options;
    const after = this.#version;
    if (after === undefined) return false;
    const sentAt = takeTimeStamp(clock);
    const outcome = await table.follow(name, { after, waitMilliseconds: 0 });
    if (outcome.kind !== "ok" || outcome.value.kind === "expired") return false;
    // Meanwhile all rows may have to be read again.
    if (this.#version === undefined) return false;
    this.#applyChanges(outcome.value);
    this.#confirmedAt = sentAt;
    return true;
  }

  /** Follows the table until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options;
    while (!stopping.aborted) {
      const sentAt = takeTimeStamp(clock);
      const problem = this.#version === undefined
        ? await this.#readAll()
        : await this.#readChanges(this.#version);
      this.#reportHealth(problem);
      if (problem === undefined) {
        this.#confirmedAt = sentAt;
        this.#backoffMilliseconds = MINIMUM_PAUSE_MILLISECONDS;
      } else {
        await this.#backOff(clock.monotonic() - sentAt.monotonic);
      }
    }
  }

  async #backOff(callMilliseconds: number): Promise<void> {
    const { clock, stopping } = this.#options;
    if (callMilliseconds >= MAXIMUM_PAUSE_MILLISECONDS) {
      this.#backoffMilliseconds = MINIMUM_PAUSE_MILLISECONDS;
    }
    await clock.sleep(this.#backoffMilliseconds, stopping);
    this.#backoffMilliseconds = Math.min(
      2 * this.#backoffMilliseconds,
      MAXIMUM_PAUSE_MILLISECONDS,
    );
  }

  get #pace(): FollowerPace {
    return this.#options.pace?.() ?? USUAL_PACE;
  }

  async #readAll(): Promise<string | undefined> {
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
      // The first follow call returns the changes made while the pages were read.
      version ??= outcome.value.version;
      const last = outcome.value.rows.at(-1);
      if (!outcome.value.hasMore || last === undefined) break;
      from = `${last.key}\u0000`;
    }
    this.#version = version;
    onSnapshot(rows);
    return undefined;
  }

  async #readChanges(after: number): Promise<string | undefined> {
    const { clock, table, name } = this.#options;
    const askedAt = clock.monotonic();
    const outcome = await table.follow(name, {
      after,
      waitMilliseconds: this.#pace.longPollMilliseconds,
    });
    if (outcome.kind !== "ok") {
      // The missed changes may be many, so all rows are read again.
      this.#version = undefined;
      return outcome.reason;
    }
    if (outcome.value.kind === "expired") {
      this.#version = undefined;
      return await this.#readAll();
    }
    const { changes, version } = outcome.value;
    this.#applyChanges(outcome.value);
    await this.#pauseAfterAnswer(changes.length > 0, {
      hasAdvanced: version > after,
      askedAt,
    });
    return undefined;
  }

  // Two calls may return the same changes, which are applied once and in order.
  #applyChanges(
    { changes, version }: Omit<
      Extract<TableChanges, { kind: "changes" }>,
      "kind"
    >,
  ): void {
    const known = this.#version ?? 0;
    const news = changes.filter((change) => change.version > known);
    this.#version = Math.max(known, version);
    if (news.length === 0) return;
    try {
      this.#options.onChanges(news);
    } catch (error) {
      // The changes behind a fault must not be lost, so all rows are read again.
      this.#version = undefined;
      throw error;
    }
  }

  // Pauses after changes, if the options ask for it, and after an immediate answer without a newer
  // version, so that the loop does not poll the store continuously.
  async #pauseAfterAnswer(
    hasChanges: boolean,
    answer: { readonly hasAdvanced: boolean; readonly askedAt: number },
  ): Promise<void> {
    const { clock, stopping } = this.#options;
    const { pauseAfterChangesMilliseconds } = this.#pace;
    const elapsedMilliseconds = clock.monotonic() - answer.askedAt;
    const isIdle = !answer.hasAdvanced &&
      elapsedMilliseconds < MINIMUM_PAUSE_MILLISECONDS;
    const idlePauseMilliseconds = isIdle ? MINIMUM_PAUSE_MILLISECONDS : 0;
    const pauseMilliseconds = Math.max(
      idlePauseMilliseconds,
      hasChanges ? pauseAfterChangesMilliseconds : 0,
    );
    if (pauseMilliseconds > 0) await clock.sleep(pauseMilliseconds, stopping);
  }

  #reportHealth(problem: string | undefined): void {
    const isFailing = problem !== undefined;
    if (isFailing === this.#isFailing) return;
    this.#isFailing = isFailing;
    this.#options.onHealthChange(problem);
  }
}
