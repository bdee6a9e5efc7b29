import type { ReportedAdjustment } from "../platform/usage_report_client.ts";
import type { WindowTotal } from "./usage_entry_set.ts";
import {
  addFigures,
  isZero,
  NO_FIGURES,
  subtractFigures,
} from "./usage_figures.ts";
import type { FrozenWindow } from "./usage_window_store.ts";

/** Input of the plan of windows to freeze. */
export interface FreezeInput {
  /** Total usage of the windows that are due, in ascending order. */
  readonly totals: ReadonlyArray<WindowTotal>;
  /** Windows that are already frozen. */
  readonly frozen: ReadonlyArray<FrozenWindow>;
  /** Start of the newest window that is due, in milliseconds since the Unix epoch. */
  readonly newestDue: number;
}

/**
 * Plans which windows to freeze now. Usage that arrives after its own window was frozen becomes an
 * adjustment in a later window; the adjustment names the window that it belongs to.
 * @param input - Totals of the due windows, and the frozen windows.
 * @example
 * ```ts
 * const windows = planFrozenWindows({ totals, frozen: [], newestDue: 60_000 });
 * ```
 */
export function planFrozenWindows(
  input: FreezeInput,
): ReadonlyArray<FrozenWindow> {
  const organisations = new Set(
    input.totals.map((total) => total.organisation),
  );
  return [...organisations].flatMap((organisation) =>
    planOrganisation(organisation, {
      newestDue: input.newestDue,
      totals: input.totals.filter((total) =>
        total.organisation === organisation
      ),
      frozen: input.frozen.filter((window) =>
        window.organisation === organisation
      ),
    })
  );
}

function planOrganisation(
  organisation: string,
  input: FreezeInput,
): ReadonlyArray<FrozenWindow> {
  const isFrozen = (windowStart: number): boolean =>
    input.frozen.some((window) => window.windowStart === windowStart);
  const open = input.totals.filter(({ windowStart, figures }) =>
    !isFrozen(windowStart) && !isZero(figures)
  );
  const lateUsage = input.totals.flatMap((total) =>
    findLate(total, input.frozen)
  );
  const planned: FrozenWindow[] = open.map((total) => ({
    ...total,
    adjustments: [],
  }));
  const isNewestOpen = planned.some(({ windowStart }) =>
    windowStart === input.newestDue
  );
  if (lateUsage.length > 0 && !isNewestOpen && !isFrozen(input.newestDue)) {
    const windowStart = input.newestDue;
    planned.push({
      windowStart,
      organisation,
      figures: NO_FIGURES,
      adjustments: [],
    });
  }
  const newestPlanned = planned.at(-1);
  if (newestPlanned === undefined) return [];
  const adjustments = lateUsage.filter(({ windowStart }) =>
    windowStart < newestPlanned.windowStart
  );
  return [...planned.slice(0, -1), { ...newestPlanned, adjustments }];
}

function findLate(
  total: WindowTotal,
  frozen: ReadonlyArray<FrozenWindow>,
): ReadonlyArray<ReportedAdjustment> {
  const { windowStart } = total;
  const frozenWindow = frozen.find((window) =>
    window.windowStart === windowStart
  );
  if (frozenWindow === undefined) return [];
  const reported = frozen
    .flatMap((window) => window.adjustments)
    .filter((adjustment) => adjustment.windowStart === windowStart)
    .reduce(
      (sum, adjustment) => addFigures(sum, adjustment.figures),
      frozenWindow.figures,
    );
  const figures = subtractFigures(total.figures, reported);
  return isZero(figures) ? [] : [{ windowStart, figures }];
}
