import type { AttemptResult } from "./attempt_result.ts";
import type { CallOutcome } from "./call_outcome.ts";

/** Returns the outcome of a call that is held because calls with its content crash servers. */
export function toHeldOutcome(retryAfterMilliseconds: number): CallOutcome {
  return { kind: "refused", refusal: "crashesServers", retryAfterMilliseconds };
}

/** Returns the outcome of a call that a server answered. */
export function toAnsweredOutcome(
  result: Extract<AttemptResult, { kind: "complete" }>,
): CallOutcome {
  const { status, body, answer } = result;
  return { kind: "answered", status, headers: answer.headers, body };
}

/** Describes why an attempt failed, for the log. */
export function describeFailure(result: AttemptResult): string {
  if (result.kind === "failed") return result.reason;
  return result.kind === "complete"
    ? `status ${result.status}`
    : "request was not run";
}
