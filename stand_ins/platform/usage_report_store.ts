import type {
  UsageReport,
  UsageReportResult,
} from "../../source/platform/usage_report_client.ts";

/** A usage report with its time of receipt and the result returned to the sender. */
export interface ReceivedUsageReport {
  readonly report: UsageReport;
  readonly receivedAtUnixMilliseconds: number;
  readonly result: UsageReportResult;
}

/** Records every usage report received, including contradicting ones. */
export class UsageReportStore {
  readonly #received: ReceivedUsageReport[] = [];
  readonly #firstFigures = new Map<string, string>();

  /** Records a report, which contradicts the first one of its window if its figures differ. */
  record(report: UsageReport, nowUnixMilliseconds: number): UsageReportResult {
    const window = `${report.windowStart}/${report.organisation}`;
    const figures = JSON.stringify([report.figures, report.adjustments]);
    const firstFigures = this.#firstFigures.get(window) ?? figures;
    this.#firstFigures.set(window, firstFigures);
    const result: UsageReportResult = firstFigures === figures
      ? { kind: "accepted" }
      : { kind: "contradiction", detail: `${firstFigures} and ${figures}` };
    this.#received.push({
      report,
      receivedAtUnixMilliseconds: nowUnixMilliseconds,
      result,
    });
    return result;
  }

  /** Returns all reports in the order of receipt. */
  received(): ReadonlyArray<ReceivedUsageReport> {
    return this.#received;
  }
}
