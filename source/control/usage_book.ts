import type { ReportedFigures } from "../platform/usage_report_client.ts";
import { addFigures, combineFigures } from "./usage_figures.ts";

/** Usage that one process counted for an organisation's window. */
export interface UsageEntry {
  /** Start of the process that counted. */
  readonly originStart: string;
  /** Milliseconds since the Unix epoch. */
  readonly windowStart: number;
  readonly organisation: string;
  /** Cumulative: later figures of the same entry are at least as high. */
  readonly figures: ReportedFigures;
}

/**
 * Returns the start of the oldest of the newest windows, so that a wall clock that leaps
 * ahead makes no window old; undefined when there are no more than that.
 * @param windowStarts - Starts of windows, in any order and number.
 * @param kept - How many different windows are new.
 */
export function findOldestKept(
  windowStarts: ReadonlyArray<number>,
  kept: number,
): number | undefined {
  const different = [...new Set(windowStarts)].sort((a, b) => b - a);
  return different.length > kept ? different[kept - 1] : undefined;
}

/** Usage of an organisation's window over all processes. */
export interface WindowTotal {
  readonly windowStart: number;
  readonly organisation: string;
  readonly figures: ReportedFigures;
}

/**
 * Cumulative usage of all processes, merged by maximum, so that copies from peers and
 * from the object store can arrive late, twice and in any order.
 * @example
 * ```ts
 * const book = new UsageBook();
 * book.merge({ originStart: "a", windowStart: 0, organisation: "school", figures });
 * book.totals();
 * ```
 */
export class UsageBook {
  readonly #entries = new Map<string, UsageEntry>();

  /** Takes an entry over as far as it is higher; returns whether anything changed. */
  merge(entry: UsageEntry): boolean {
    const key = entryKey(entry);
    const held = this.#entries.get(key);
    if (held === undefined) {
      this.#entries.set(key, entry);
      return true;
    }
    const figures = combineFigures(held.figures, entry.figures, Math.max);
    if (JSON.stringify(figures) === JSON.stringify(held.figures)) return false;
    this.#entries.set(key, { ...held, figures });
    return true;
  }

  /** Adds usage to an entry. */
  add(entry: UsageEntry): void {
    const key = entryKey(entry);
    const held = this.#entries.get(key);
    const figures = held === undefined
      ? entry.figures
      : addFigures(held.figures, entry.figures);
    this.#entries.set(key, { ...entry, figures });
  }

  /** Returns all entries. */
  entries(): ReadonlyArray<UsageEntry> {
    return [...this.#entries.values()];
  }

  /** Returns the sums over all processes, by window in ascending order. */
  totals(): ReadonlyArray<WindowTotal> {
    const totals = new Map<string, WindowTotal>();
    for (const { windowStart, organisation, figures } of this.entries()) {
      const key = `${windowStart}/${organisation}`;
      const held = totals.get(key);
      totals.set(key, {
        windowStart,
        organisation,
        figures: held === undefined
          ? figures
          : addFigures(held.figures, figures),
      });
    }
    return [...totals.values()].sort((left, right) =>
      left.windowStart - right.windowStart
    );
  }

  /** Drops an entry. */
  remove(entry: UsageEntry): void {
    this.#entries.delete(entryKey(entry));
  }
}

function entryKey(entry: UsageEntry): string {
  return `${entry.originStart}/${entry.windowStart}/${entry.organisation}`;
}
