import type { ReportedFigures } from "../platform/usage_report_client.ts";
import { addFigures, combineFigures } from "./usage_figures.ts";

/** Usage of one organisation in one window, as counted by one process. */
export interface UsageEntry {
  /** Identifies the start of the process that counted the usage. */
  readonly originStart: string;
  /** Start of the window, in milliseconds since the Unix epoch. */
  readonly windowStart: number;
  readonly organisation: string;
  /** Cumulative figures; later figures of the same entry are never lower. */
  readonly figures: ReportedFigures;
}

/**
 * Returns the start of the oldest window to retain, or undefined when no window is older than those
 * to retain. The limit is a number of windows rather than an age, so that a forward step of the
 * wall clock makes no window old.
 * @param windowStarts - Starts of windows, in any order, with duplicates.
 * @param retainedWindows - Number of different windows to retain.
 */
export function findOldestRetained(
  windowStarts: ReadonlyArray<number>,
  retainedWindows: number,
): number | undefined {
  const newestFirst = [...new Set(windowStarts)].sort((a, b) => b - a);
  return newestFirst.length > retainedWindows
    ? newestFirst[retainedWindows - 1]
    : undefined;
}

/** Total usage of one organisation in one window over all processes. */
export interface WindowTotal {
  readonly windowStart: number;
  readonly organisation: string;
  readonly figures: ReportedFigures;
}

/**
 * Stores cumulative usage by process, window and organisation. Merging takes the maximum of each
 * figure, so that copies from peers and from the object store may arrive late, repeatedly and in any
 * order.
 * @example
 * ```ts
 * const usage = new UsageEntrySet();
 * usage.merge({ originStart: "a", windowStart: 0, organisation: "school", figures });
 * usage.totals();
 * ```
 */
export class UsageEntrySet {
  readonly #entries = new Map<string, UsageEntry>();

  /** Merges an entry by taking the maximum of each figure; returns whether anything changed. */
  merge(entry: UsageEntry): boolean {
    const key = entryKey(entry);
    const existing = this.#entries.get(key);
    if (existing === undefined) {
      this.#entries.set(key, entry);
      return true;
    }
    const figures = combineFigures(existing.figures, entry.figures, Math.max);
    if (JSON.stringify(figures) === JSON.stringify(existing.figures)) {
      return false;
    }
    this.#entries.set(key, { ...existing, figures });
    return true;
  }

  /** Adds the figures to an entry, which is created if absent. */
  add(entry: UsageEntry): void {
    const key = entryKey(entry);
    const existing = this.#entries.get(key);
    const figures = existing === undefined
      ? entry.figures
      : addFigures(existing.figures, entry.figures);
    this.#entries.set(key, { ...entry, figures });
  }

  /** Returns all entries. */
  entries(): ReadonlyArray<UsageEntry> {
    return [...this.#entries.values()];
  }

  /** Returns the totals over all processes, sorted by window in ascending order. */
  totals(): ReadonlyArray<WindowTotal> {
    const totals = new Map<string, WindowTotal>();
    for (const { windowStart, organisation, figures } of this.entries()) {
      const key = `${windowStart}/${organisation}`;
      const existing = totals.get(key);
      totals.set(key, {
        windowStart,
        organisation,
        figures: existing === undefined
          ? figures
          : addFigures(existing.figures, figures),
      });
    }
    return [...totals.values()].sort((left, right) =>
      left.windowStart - right.windowStart
    );
  }

  /** Removes an entry. */
  remove(entry: UsageEntry): void {
    this.#entries.delete(entryKey(entry));
  }
}

function entryKey(entry: UsageEntry): string {
  return `${entry.originStart}/${entry.windowStart}/${entry.organisation}`;
}
