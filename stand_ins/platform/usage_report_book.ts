import type {
  UsageReport,
  UsageReportResult,
} from "../../source/platform/usage_report_client.ts";

/** A usage report as it arrived. */
export interface ReceivedUsageReport {
  readonly report: UsageReport;
  readonly receivedAtUnixMilliseconds: number;
  readonly result: UsageReportResult;
}

/** Keeps all usage reports that arrived, contradictions included. */
export class UsageReportBook {
  readonly #received: ReceivedUsageReport[] = [];
  readonly #first = new Map<string, string>();

  /** Takes a report; a repetition with other figures is a contradiction. */
  take(report: UsageReport, nowUnixMilliseconds: number): UsageReportResult {
    const window = `${report.windowStart}/${report.organisation}`;
    const figures = JSON.stringify([report.figures, report.adjustments]);
    const first = this.#first.get(window) ?? figures;
    this.#first.set(window, first);
    const result: UsageReportResult = first === figures
      ? { kind: "accepted" }
      : { kind: "contradiction", detail: `${first} and ${figures}` };
    this.#received.push({
      report,
      receivedAtUnixMilliseconds: nowUnixMilliseconds,
      result,
    });
    return result;
  }

  /** Returns all that arrived, in order. */
  received(): ReadonlyArray<ReceivedUsageReport> {
    return this.#received;
  }
}
