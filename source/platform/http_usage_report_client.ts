import { asObject, readAnswer } from "./platform_answer.ts";
import type { PlatformConnection } from "./platform_connection.ts";
import type { PlatformOutcome } from "./platform_outcome.ts";
import type { SendGuard } from "./send_guard.ts";
import type {
  UsageReport,
  UsageReportClient,
  UsageReportResult,
} from "./usage_report_client.ts";

/** Client of the platform's usage reports over HTTP and JSON. */
export class HttpUsageReportClient implements UsageReportClient {
  readonly #connection: PlatformConnection;

  /** @param connection - Pool of connections to the platform. */
  constructor(connection: PlatformConnection) {
    this.#connection = connection;
  }

  /** Sends the usage report of one window. */
  async report(
    report: UsageReport,
    guard?: SendGuard,
  ): Promise<PlatformOutcome<UsageReportResult>> {
    const outcome = await this.#connection.call({
      method: "POST",
      path: "/usage-reports",
      body: JSON.stringify(report),
      ...(guard && { guard }),
    });
    return readAnswer(outcome, readResult);
  }
}

function readResult(json: unknown): UsageReportResult | undefined {
  const result = asObject(json);
  if (result?.["kind"] === "accepted") return { kind: "accepted" };
  if (result?.["kind"] !== "contradiction") return undefined;
  return { kind: "contradiction", detail: String(result["detail"]) };
}
