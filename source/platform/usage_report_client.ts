import type { PlatformOutcome } from "./platform_outcome.ts";
import type { SendGuard } from "./send_guard.ts";

/** Usage of one organisation, as reported to the platform. */
export interface ReportedFigures {
  readonly requests: number;
  readonly promptTokens: number;
  readonly generatedTokens: number;
}

/** Usage of an earlier window that arrived after its report was frozen. */
export interface ReportedAdjustment {
  readonly windowStart: number;
  readonly figures: ReportedFigures;
}

/** The one report of an organisation's window. */
export interface UsageReport {
  readonly organisation: string;
  /** Start of the window in milliseconds since the Unix epoch. */
  readonly windowStart: number;
  readonly figures: ReportedFigures;
  readonly adjustments: ReadonlyArray<ReportedAdjustment>;
  readonly reporter: string;
  readonly fencingNumber: number;
}

/** Whether the platform took a report; a repetition with equal figures is accepted. */
export type UsageReportResult =
  | { readonly kind: "accepted" }
  | { readonly kind: "contradiction"; readonly detail: string };

/** The platform's interface that takes usage reports. */
export interface UsageReportClient {
  /** Sends the report of a window. */
  report(
    report: UsageReport,
    guard?: SendGuard,
  ): Promise<PlatformOutcome<UsageReportResult>>;
}
