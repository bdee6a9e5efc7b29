import test from "ava";
import type { FailureCause } from "../backends/failure_cause.ts";
import { toAttemptResult } from "./attempt_result.ts";

const CASES: ReadonlyArray<{
  readonly cause: FailureCause;
  readonly isRefused: boolean;
}> = [
  { cause: "refused", isRefused: true },
  // The server was evacuated or left in the tick of the send, and did nothing wrong.
  { cause: "withheld", isRefused: true },
  { cause: "connect", isRefused: false },
  { cause: "cancelled", isRefused: false },
];

for (const { cause, isRefused } of CASES) {
  const verb = isRefused ? "does not count" : "counts";
  test(`an attempt that did not run because of "${cause}" ${verb} as a failure of its server`, async (t) => {
    const answer = { kind: "notRun", reason: "test", cause } as const;
    t.deepEqual(await toAttemptResult(answer, false), {
      kind: "notRun",
      isRefused,
    });
  });
}
