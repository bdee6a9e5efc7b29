import type { ReportedFigures } from "../platform/usage_report_client.ts";

/** Counts what organisations used, by window, for the bills. */
export interface UsageCounters {
  /** Adds usage to the window that is open now. */
  record(organisation: string, figures: ReportedFigures): void;
}
