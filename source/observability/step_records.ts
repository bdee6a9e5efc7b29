import type { LogLine } from "./log_trace.ts";

/** What log lines tell of one sample; times are milliseconds since the Unix epoch. */
export interface SampleRecord {
  readonly identifier: string;
  readonly group: string;
  readonly outcome: "completed" | "unfinished" | "terminated";
  /** Time at which the run that ended the sample began on its node. */
  readonly runStartedAt: number;
  /** Time at which the text was complete. */
  readonly madeAt: number;
  /** Time at which the result was ready to be listed. */
  readonly scoredAt: number;
  /** Time at which the result was listed; undefined when it never was. */
  readonly listedAt: number | undefined;
  readonly events: number;
  /** Milliseconds that the run spent in each state until the text was complete. */
  readonly spent: {
    readonly waited: number;
    readonly waitedForWeights: number;
    readonly asked: number;
    readonly generated: number;
    readonly resumed: number;
  };
}

/** What log lines tell of one step. */
export interface StepRecord {
  readonly identifier: string;
  readonly model: string;
  readonly number: number;
  /** Number of complete groups that the trainer waits for; 0 when it waits for all. */
  readonly targetGroups: number;
  /** Time at which the step arrived first, also if it was refused then. */
  readonly submittedAt: number;
  readonly acceptedAt: number;
  /** Milliseconds from the submission until the results are due; 0 without a deadline. */
  readonly dueMilliseconds: number;
  /** Number of times that a node started to run the step. */
  readonly runs: number;
  /** Time at which the trainer ended the step; undefined when it did not. */
  readonly endedAt: number | undefined;
  readonly samples: ReadonlyArray<SampleRecord>;
}

interface StepDraft {
  accepted: LogLine | undefined;
  firstSeenAt: number;
  runs: number;
  endedAt: number | undefined;
  /** The last line of each sample that tells its outcome. */
  readonly samples: Map<string, LogLine>;
  readonly listedAt: Map<string, number>;
}

type ApplyLine = (draft: StepDraft, line: LogLine) => void;

const APPLY_LINE: Readonly<Record<string, ApplyLine>> = {
  durableStepAccepted: (draft, line) => {
    draft.accepted ??= line;
  },
  durableStepRunStarted: (draft) => {
    draft.runs += 1;
  },
  durableStepEnded: (draft, { at }) => {
    draft.endedAt ??= at;
  },
  resultsListed: (draft, { at, fields }) => {
    for (const sample of String(fields["samples"]).split(" ")) {
      draft.listedAt.set(sample, at);
    }
  },
  sampleFinished: applySample,
  sampleTerminated: applySample,
  sampleUnfinished: (draft, line) => {
    const known = draft.samples.get(String(line.fields["sample"]));
    if (known?.event !== "sampleFinished") applySample(draft, line);
  },
};

const OUTCOMES: Readonly<Record<string, SampleRecord["outcome"]>> = {
  sampleFinished: "completed",
  sampleTerminated: "terminated",
};

/**
 * Collects what the log lines of all nodes tell of each accepted step, in the order of acceptance.
 * A node's clock that jumps shifts the times of its lines.
 * @param lines - Log lines of all nodes.
 * @returns A record for each step whose acceptance was logged.
 * @example
 * ```ts
 * const records = readStepRecords(readLogLines(text));
 * ```
 */
export function readStepRecords(
  lines: ReadonlyArray<LogLine>,
): ReadonlyArray<StepRecord> {
  const drafts = new Map<string, StepDraft>();
  const sorted = [...lines].sort((left, right) => left.at - right.at);
  for (const line of sorted) {
    const identifier = line.fields["step"] ?? line.fields["request"];
    if (typeof identifier !== "string") continue;
    const draft = drafts.get(identifier) ?? createDraft(line);
    drafts.set(identifier, draft);
    APPLY_LINE[line.event]?.(draft, line);
  }
  return [...drafts].flatMap(([identifier, draft]) =>
    draft.accepted === undefined
      ? []
      : [toStepRecord(identifier, draft, draft.accepted)]
  ).sort((left, right) => left.acceptedAt - right.acceptedAt);
}

function applySample(draft: StepDraft, line: LogLine): void {
  draft.samples.set(String(line.fields["sample"]), line);
}

function createDraft(line: LogLine): StepDraft {
  return {
    accepted: undefined,
    firstSeenAt: line.at - getNumber(line, "milliseconds"),
    runs: 0,
    endedAt: undefined,
    samples: new Map(),
    listedAt: new Map(),
  };
}

function toStepRecord(
  identifier: string,
  draft: StepDraft,
  accepted: LogLine,
): StepRecord {
  return {
    identifier,
    model: String(accepted.fields["model"]),
    number: getNumber(accepted, "stepNumber"),
    targetGroups: getNumber(accepted, "targetGroups"),
    submittedAt: draft.firstSeenAt,
    acceptedAt: accepted.at,
    dueMilliseconds: getNumber(accepted, "dueMilliseconds"),
    runs: draft.runs,
    endedAt: draft.endedAt,
    samples: [...draft.samples.values()].map((line) =>
      toSampleRecord(line, draft)
    ),
  };
}

function toSampleRecord(line: LogLine, draft: StepDraft): SampleRecord {
  const identifier = String(line.fields["sample"]);
  const spent = {
    waited: getNumber(line, "waited"),
    waitedForWeights: getNumber(line, "waitedForWeights"),
    asked: getNumber(line, "asked"),
    generated: getNumber(line, "generated"),
    resumed: getNumber(line, "resumed"),
  };
  const total = Object.values(spent).reduce((sum, each) => sum + each, 0);
  // The line of a sample without a result does not name the start of its run.
  const runStartedAt = line.at -
    Math.max(total, getNumber(line, "scoredAt"));
  return {
    identifier,
    group: String(line.fields["group"]),
    outcome: OUTCOMES[line.event] ?? "unfinished",
    runStartedAt,
    madeAt: runStartedAt + getNumber(line, "madeAt"),
    scoredAt: line.at,
    listedAt: draft.listedAt.get(identifier),
    events: getNumber(line, "events"),
    spent,
  };
}

function getNumber({ fields }: LogLine, name: string): number {
  const value = Number(fields[name]);
  return Number.isFinite(value) ? value : 0;
}
