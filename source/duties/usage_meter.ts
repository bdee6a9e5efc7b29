import type { DurableTable } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";

/** Name of the table of usage; each window is a partition. */
export const USAGE_TABLE = "usage";

/** Figures of a lost node are missing for at most so long. */
const SAVE_INTERVAL_MILLISECONDS = 700;
/** Windows kept to be saved when the store is away. */
const KEPT_WINDOWS = 24;

/** Counts by organisation. */
export type UsageCounts = Readonly<Record<string, number>>;

/** What a usage meter works with. */
export interface UsageMeterOptions {
  readonly clock: Clock;
  readonly table: DurableTable;
  readonly nodeStart: string;
  readonly windowMilliseconds: number;
  readonly stopping: AbortSignal;
}

interface OpenWindow {
  readonly counts: Map<string, number>;
  isSaved: boolean;
}

/** Counts the requests that began to run through this node, by window and organisation, and saves them. */
export class UsageMeter {
  readonly #options: UsageMeterOptions;
  readonly #windows = new Map<number, OpenWindow>();

  /** @param options - The store and the length of a window. */
  constructor(options: UsageMeterOptions) {
    this.#options = options;
  }

  /** Counts one request that began at a moment of the wall clock. */
  count(organisation: string, begunAt: number): void {
    const number = Math.floor(begunAt / this.#options.windowMilliseconds);
    let window = this.#windows.get(number);
    if (window === undefined) {
      window = { counts: new Map(), isSaved: true };
      this.#windows.set(number, window);
      const [oldest] = this.#windows.keys();
      if (this.#windows.size > KEPT_WINDOWS && oldest !== undefined) {
        this.#windows.delete(oldest);
      }
    }
    const known = window.counts.get(organisation) ?? 0;
    window.counts.set(organisation, known + 1);
    window.isSaved = false;
  }

  /** Saves again and again until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options;
    while (!stopping.aborted) {
      await clock.sleep(SAVE_INTERVAL_MILLISECONDS, stopping);
      await this.save();
    }
  }

  /** Saves the counts that changed since they were last saved. */
  async save(): Promise<void> {
    const { table, nodeStart } = this.#options;
    for (const [number, window] of this.#windows) {
      if (window.isSaved) continue;
      window.isSaved = true;
      const counts = Object.fromEntries(window.counts);
      const outcome = await table.commit({
        conditions: [],
        puts: [{
          table: USAGE_TABLE,
          partition: String(number),
          key: nodeStart,
          value: Buffer.from(JSON.stringify(counts)),
        }],
      });
      if (outcome.kind !== "ok") window.isSaved = false;
    }
  }
}
