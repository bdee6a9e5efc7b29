import type { PlatformOutcome } from "./platform_outcome.ts";
import type { SendGuard } from "./send_guard.ts";

/** Usage of one organisation, as reported to the platform. */
export interface ReportedFigures {
  readonly requests: number;
  readonly promptTokens: number;
  readonly generatedTokens: number;
}

/** Usage of an earlier window that arrived after the figures of its report were frozen. */
export interface ReportedAdjustment {
  /** Start of the earlier window in milliseconds since the Unix epoch. */
  readonly windowStart: number;
  readonly figures: ReportedFigures;
}

/** The only report of one usage window of an organisation. */
export interface UsageReport {
  readonly organisation: string;
  /** Start of the window in milliseconds since the Unix epoch. */
  readonly windowStart: number;
  readonly figures: ReportedFigures;
  readonly adjustments: ReadonlyArray<ReportedAdjustment>;
  /** Name of the node that sends the report. */
  readonly reporter: string;
  readonly fencingNumber: number;
}

/** Whether the platform accepted a report; a repetition with equal figures is accepted. */
export type UsageReportResult =
  | { readonly kind: "accepted" }
  | { readonly kind: "contradiction"; readonly detail: string };

/** Client of the platform's usage reports. */
export interface UsageReportClient {
  /** Sends the usage report of one window. */
  report(
    report: UsageReport,
    guard?: SendGuard,
  ): Promise<PlatformOutcome<UsageReportResult>>;
}
