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

/** A request that counts towards the usage window in which it started. */
export interface UsageEntry {
  /** Counts the request; further calls have no effect. */
  count(): void;
  /** Ends the entry; the request can't be counted afterwards. */
  end(): void;
}

interface UsageWindow {
  /** Number of requests by organisation. */
  readonly counts: Map<string, number>;
  /** Number of requests that started in the window and may still be counted. */
  open: number;
  /** Number of requests counted. */
  counted: number;
  /** Number of requests that the stored counts contain. */
  saved: number;
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
   * Opens the entry of a request that may be counted later.
   * @param organisation - Organisation that the request is counted for.
   * @param startedAt - Time at which the request started, in Unix milliseconds.
   */
  open(organisation: string, startedAt: number): UsageEntry {
    const window = this.#getWindow(startedAt);
    window.open += 1;
    let isCounted = false;
    let isEnded = false;
    return {
      count: () => {
        if (isCounted || isEnded) return;
        isCounted = true;
        const previous = window.counts.get(organisation) ?? 0;
        window.counts.set(organisation, previous + 1);
        window.counted += 1;
      },
      end: () => {
        if (isEnded) return;
        isEnded = true;
        window.open -= 1;
      },
    };
  }

  /**
   * Returns the index of the last window whose counts are final and saved on this node. Windows
   * before it are final and saved too.
   */
  get settledThrough(): number {
    const { clock, windowMilliseconds } = this.#options;
    let settled = Math.floor(clock.wall() / windowMilliseconds) - 1;
    for (const [windowIndex, window] of this.#windows) {
      if (window.open === 0 && window.saved === window.counted) continue;
      settled = Math.min(settled, windowIndex - 1);
    }
    return settled;
  }

  #getWindow(startedAt: number): UsageWindow {
    const windowIndex = Math.floor(
      startedAt / this.#options.windowMilliseconds,
    );
    let window = this.#windows.get(windowIndex);
    if (window === undefined) {
      window = { counts: new Map(), open: 0, counted: 0, saved: 0 };
      this.#windows.set(windowIndex, window);
      const [oldest] = this.#windows.keys();
      if (this.#windows.size > MAXIMUM_WINDOWS && oldest !== undefined) {
        this.#windows.delete(oldest);
      }
    }
    return window;
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
      const { counted } = window;
      if (window.saved === counted) continue;
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
      if (outcome.kind === "ok") window.saved = counted;
    }
  }
}
