import type { ReportedFigures } from "../platform/usage_report_client.ts";

/** Records the usage of organisations by window, for billing. */
export interface UsageRecorder {
  /** Adds usage to the current window. */
  record(organisation: string, figures: ReportedFigures): void;
}
