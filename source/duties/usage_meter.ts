import type { DurableTable } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";

/** Name of the usage table, which has one partition for each window. */
export const USAGE_TABLE = "usage";

/** Interval between saves; counts made since the last save are lost when the node fails. */
const SAVE_INTERVAL_MILLISECONDS = 700;
/**
 * Maximum number of windows that are kept in memory, also while the store is unreachable; beyond it,
 * the oldest window is dropped, saved or not.
 */
const MAXIMUM_WINDOWS = 24;

/** Number of requests by organisation. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Dependencies of a usage meter. */
export interface UsageMeterOptions {
  readonly clock: Clock;
  readonly table: DurableTable;
  /** Identity of this process: the node's name and a random part that is new at each start. */
  readonly nodeStart: string;
  /** Length of a usage window. */
  readonly windowMilliseconds: number;
  readonly stopping: AbortSignal;
}

interface UsageWindow {
  /** Number of requests by organisation. */
  readonly counts: Map<string, number>;
  /** Whether no count awaits a save; true also while a save runs and for a window without counts. */
  isSaved: boolean;
}

/**
 * Counts, for each window and organisation, the requests that this node forwarded and a backend
 * server answered, and saves the counts to the store.
 */
export class UsageMeter {
  readonly #options: UsageMeterOptions;
  /** Windows by their index, counted from the Unix epoch. */
  readonly #windows = new Map<number, UsageWindow>();

  /** @param options - The store, the window length and the other dependencies. */
  constructor(options: UsageMeterOptions) {
    this.#options = options;
  }

  /**
   * Counts one request.
   * @param organisation - Organisation that the request is counted for.
   * @param startedAt - Time at which the request started, in Unix milliseconds.
   */
  count(organisation: string, startedAt: number): void {
    const windowIndex = Math.floor(
      startedAt / this.#options.windowMilliseconds,
    );
    let window = this.#windows.get(windowIndex);
    if (window === undefined) {
      window = { counts: new Map(), isSaved: true };
      this.#windows.set(windowIndex, window);
      const [oldest] = this.#windows.keys();
      if (this.#windows.size > MAXIMUM_WINDOWS && oldest !== undefined) {
        this.#windows.delete(oldest);
      }
    }
    const previousCount = window.counts.get(organisation) ?? 0;
    window.counts.set(organisation, previousCount + 1);
    window.isSaved = false;
  }

  /** Saves the counts periodically until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options;
    while (!stopping.aborted) {
      await clock.sleep(SAVE_INTERVAL_MILLISECONDS, stopping);
      await this.save();
    }
  }

  /** Saves the counts of all windows that changed since their last save. */
  async save(): Promise<void> {
    const { table, nodeStart } = this.#options;
    for (const [windowIndex, window] of this.#windows) {
      if (window.isSaved) continue;
      window.isSaved = true;
      const counts = Object.fromEntries(window.counts);
      const outcome = await table.commit({
        conditions: [],
        puts: [{
          table: USAGE_TABLE,
          partition: String(windowIndex),
          key: nodeStart,
          value: Buffer.from(JSON.stringify(counts)),
        }],
      });
      if (outcome.kind !== "ok") window.isSaved = false;
    }
  }
}
