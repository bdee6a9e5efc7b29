import test from "ava";
import { ManualClock } from "../utilities/manual_clock.ts";
import { MemoryCauseLedger } from "./memory_cause_ledger.ts";
import { NO_METRICS } from "./metrics.ts";

const SUBJECT = {
  kind: "request",
  identifier: "request-1",
  organisation: "school-3",
  classOfWork: "interactive",
  service: "dot-models",
} as const;

test("a ledger sums only requests that missed their target, if there are any", async (t) => {
  const clock = new ManualClock();
  const ledger = new MemoryCauseLedger({
    clock,
    metrics: NO_METRICS,
    maximumEntries: 3,
  });
  const met = ledger.open(SUBJECT);
  met.add("generation", 50);
  met.close(false);
  const missed = ledger.open({ ...SUBJECT, identifier: "request-2" });
  missed.add("queue", 900);
  missed.add("generation", 50);
  missed.add("queue", Number.NaN);
  missed.close(true);
  missed.add("retry", 5);
  const query = {
    subject: "organisation",
    identifier: "school-3",
    withinMilliseconds: 1000,
  } as const;
  t.snapshot(ledger.explain(query));
  t.is(ledger.explain({ ...query, identifier: "other" }).subjects, 0);
  await clock.advance(2000);
  t.is(ledger.explain(query).subjects, 0);
});
