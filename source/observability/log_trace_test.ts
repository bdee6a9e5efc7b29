import test from "ava";
import { readLogLines, traceLogs } from "./log_trace.ts";

function line(
  second: number,
  event: string,
  fields: Readonly<Record<string, string | number>>,
): string {
  return JSON.stringify({
    event,
    level: "info",
    message: "",
    number: 1,
    source: "front-1",
    timestamp: new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString(),
    ...fields,
  });
}

const OUTAGE = [
  line(1, "storeLost", { table: "op", reason: "status 503" }),
  line(3, "callEnded", { request: "q1", detail: "staleKeys" }),
];

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly lines: ReadonlyArray<string>;
  readonly cause: string | undefined;
}> = [
  {
    title: "a call refused while the store was unreachable",
    lines: OUTAGE,
    cause: "The store did not answer front-1: status 503",
  },
  {
    title: "a call whose server closed the connection early",
    lines: [
      line(1, "attemptFailed", {
        request: "q1",
        server: "i-1",
        reason: "Answer cut",
      }),
      line(2, "callEnded", { request: "q1", detail: "serverFailed" }),
    ],
    cause: "Server i-1 failed: Answer cut",
  },
  {
    title: "a sample whose engine timed out",
    lines: [
      line(1, "sampleAttemptCut", {
        sample: "q1",
        server: "i-2",
        reason: "Connection timed out",
      }),
      line(4, "sampleFinished", { sample: "q1" }),
    ],
    cause: "Engine i-2 ended the text early: Connection timed out",
  },
  {
    title: "a call rejected while servers limited their requests",
    lines: [
      line(1, "serverLimitUsed", { server: "i-1", requestsPerSecond: 2 }),
      line(2, "serverLimitUsed", { server: "i-1", requestsPerSecond: 1.5 }),
      line(2, "callEnded", { request: "q1", detail: "overloaded" }),
    ],
    cause:
      "The servers were too busy to answer by the deadline; servers limited their requests: i-1 to 1.5 a second",
  },
  {
    title: "a text that began anew",
    lines: [
      line(1, "textRestarted", {
        sample: "q1",
        softwareVersion: "v1",
        events: 12,
      }),
    ],
    cause:
      "No engine of software version v1 could go on with the text, and 12 events were discarded",
  },
  {
    title: "a step whose node became unreachable",
    lines: [line(1, "durableStepTakenOver", { step: "q1", from: "p-7" })],
    cause: "The node that ran the step became unreachable (process p-7)",
  },
  {
    title: "a sample that waited for its score when its step ended",
    lines: [
      line(5, "sampleUnfinished", {
        sample: "q1",
        doing: "scoring",
        milliseconds: 410,
        refusals: 0,
        unusableVersions: 0,
      }),
    ],
    cause:
      "Not finished in time: the text was complete and waited for its score for 410 ms",
  },
  {
    title: "a sample that was sent to engines with unusable weight versions",
    lines: [
      line(5, "sampleUnfinished", {
        sample: "q1",
        doing: "waitingForEngine",
        milliseconds: 69,
        refusals: 3,
        unusableVersions: 412,
      }),
    ],
    cause:
      "Not finished in time: no engine had capacity or a weight version that the step allows for 69 ms (412 attempts with unusable weight versions, 3 refused attempts)",
  },
  {
    title: "a step without a failure",
    lines: [line(1, "durableStepAccepted", { step: "q1" })],
    cause: undefined,
  },
];

for (const { title, lines, cause } of CASES) {
  test(`a trace names the cause of ${title}`, (t) => {
    const text = `12.5 front-1 ${lines.join("\n12.6 front-1 ")}\nnoise {`;
    t.is(traceLogs(readLogLines(text), "q1").cause, cause);
  });
}

test("a trace contains only the lines that carry the identifier", (t) => {
  const text = [...OUTAGE].reverse().join("\n");
  const { lines } = traceLogs(readLogLines(text), "op");
  t.deepEqual(lines.map(({ event }) => event), ["storeLost"]);
  t.deepEqual(traceLogs(readLogLines(text), "absent").lines, []);
});
