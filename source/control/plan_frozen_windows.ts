import type { ReportedAdjustment } from "../platform/usage_report_client.ts";
import type { WindowTotal } from "./usage_book.ts";
import {
  addFigures,
  isZero,
  NO_FIGURES,
  subtractFigures,
} from "./usage_figures.ts";
import type { FrozenWindow } from "./usage_windows.ts";

/** What the next windows are planned from. */
export interface FreezeInput {
  /** Sums of the windows that are due, in ascending order. */
  readonly totals: ReadonlyArray<WindowTotal>;
  /** Windows that are frozen already. */
  readonly frozen: ReadonlyArray<FrozenWindow>;
  /** The newest window that is due. */
  readonly newestDue: number;
}

/**
 * Plans which windows are to be frozen now, and with which adjustments for usage that
 * arrived after its own window was frozen. Each adjustment names its window and goes into
 * a later one.
 * @param input - Due sums and frozen windows.
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
  const late = input.totals.flatMap((total) => findLate(total, input.frozen));
  const planned: FrozenWindow[] = open.map((total) => ({
    ...total,
    adjustments: [],
  }));
  const isNewestOpen = planned.some(({ windowStart }) =>
    windowStart === input.newestDue
  );
  if (late.length > 0 && !isNewestOpen && !isFrozen(input.newestDue)) {
    const windowStart = input.newestDue;
    planned.push({
      windowStart,
      organisation,
      figures: NO_FIGURES,
      adjustments: [],
    });
  }
  const carrier = planned.at(-1);
  if (carrier === undefined) return [];
  const adjustments = late.filter(({ windowStart }) =>
    windowStart < carrier.windowStart
  );
  return [...planned.slice(0, -1), { ...carrier, adjustments }];
}

function findLate(
  total: WindowTotal,
  frozen: ReadonlyArray<FrozenWindow>,
): ReadonlyArray<ReportedAdjustment> {
  const { windowStart } = total;
  const own = frozen.find((window) => window.windowStart === windowStart);
  if (own === undefined) return [];
  const reported = frozen
    .flatMap((window) => window.adjustments)
    .filter((adjustment) => adjustment.windowStart === windowStart)
    .reduce(
      (sum, adjustment) => addFigures(sum, adjustment.figures),
      own.figures,
    );
  const figures = subtractFigures(total.figures, reported);
  return isZero(figures) ? [] : [{ windowStart, figures }];
}
