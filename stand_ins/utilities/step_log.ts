/** One step of an example log; times are milliseconds since the start of the log. */
export interface LoggedStep {
  readonly step: string;
  readonly number: number;
  readonly submittedAt: number;
  readonly samples: ReadonlyArray<LoggedSample>;
}

/** One sample of an example log; times are milliseconds since the submission of its step. */
export interface LoggedSample {
  readonly group: string;
  readonly events: number;
  /** Time at which the result was listed; undefined for a sample that was not finished. */
  readonly listedAt: number | undefined;
  readonly waited?: number;
  readonly waitedForWeights?: number;
}

const STARTS_AT = Date.parse("2026-01-01T00:00:00Z");
const ACCEPTANCE_MILLISECONDS = 20;
const SCORING_MILLISECONDS = 200;
const LISTING_MILLISECONDS = 10;

/**
 * Creates the log of the node that runs the steps of one trainer, whose engines need 40 ms for an
 * event.
 * @param steps - The steps, each due after 7.5 s and with all its groups needed.
 */
export function createStepLog(steps: ReadonlyArray<LoggedStep>): string {
  return steps.flatMap(toLines).join("\n");
}

function toLines(
  { step, number, submittedAt, samples }: LoggedStep,
): ReadonlyArray<string> {
  const runStartedAt = submittedAt + ACCEPTANCE_MILLISECONDS;
  return [
    toLine(runStartedAt, "durableStepAccepted", {
      step,
      model: "m",
      stepNumber: number,
      samples: samples.length,
      targetGroups: new Set(samples.map(({ group }) => group)).size,
      milliseconds: ACCEPTANCE_MILLISECONDS,
      dueMilliseconds: 7500,
    }),
    toLine(runStartedAt, "durableStepRunStarted", { step, model: "m" }),
    ...samples.flatMap((sample, index) =>
      toSampleLines({ step, submittedAt, runStartedAt }, sample, index)
    ),
  ];
}

function toSampleLines(
  { step, submittedAt, runStartedAt }: {
    readonly step: string;
    readonly submittedAt: number;
    readonly runStartedAt: number;
  },
  { group, events, listedAt, waited = 0, waitedForWeights = 0 }: LoggedSample,
  index: number,
): ReadonlyArray<string> {
  const sample = `${step}-${index}`;
  const times = { waited, waitedForWeights, asked: 5, resumed: 0 };
  if (listedAt === undefined) {
    return [toLine(submittedAt + 12_000, "sampleUnfinished", {
      ...{ step, group, sample, doing: "waitingForEngine", events },
      ...{ ...times, generated: 0 },
    })];
  }
  const scoredAt = submittedAt + listedAt - LISTING_MILLISECONDS;
  return [
    toLine(scoredAt, "sampleFinished", {
      ...{ step, group, sample, events },
      madeAt: scoredAt - SCORING_MILLISECONDS - runStartedAt,
      scoredAt: scoredAt - runStartedAt,
      ...{ ...times, generated: 40 * events },
    }),
    toLine(submittedAt + listedAt, "resultsListed", { step, samples: sample }),
  ];
}

function toLine(
  at: number,
  event: string,
  fields: Readonly<Record<string, string | number>>,
): string {
  return JSON.stringify({
    source: "n1",
    event,
    level: "info",
    message: "",
    timestamp: new Date(STARTS_AT + at).toISOString(),
    ...fields,
  });
}
