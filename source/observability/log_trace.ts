/** One line of a program's log. */
export interface LogLine {
  readonly source: string;
  readonly event: string;
  readonly level: string;
  readonly message: string;
  /** Milliseconds since the Unix epoch, by the clock of the node that wrote the line. */
  readonly at: number;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Log lines of one request, step or sample, and the cause of its failure. */
export interface LogTrace {
  /** Lines that contain the identifier of the request, step or sample, earliest first. */
  readonly lines: ReadonlyArray<LogLine>;
  /** Condition that caused the failure; undefined when no line shows one. */
  readonly cause: string | undefined;
}

const COMMON_FIELDS: ReadonlySet<string> = new Set([
  "source",
  "event",
  "level",
  "message",
  "timestamp",
  "number",
]);

/** Lines up to this time before and after the traced lines are searched for a cause. */
const CONTEXT_MILLISECONDS = 3000;

/** Returns the condition that caused a line; undefined when the line shows none. */
type FindCause = (
  line: LogLine,
  context: ReadonlyArray<LogLine>,
) => string | undefined;

/** Functions that find the cause that a line shows, by the name of the line's event. */
const CAUSES: Readonly<Record<string, FindCause>> = {
  callEnded: ({ source, fields }, context) => {
    const detail = String(fields["detail"]);
    if (detail === "staleKeys" || detail === "storeAway") {
      const lost = context.find((line) =>
        line.event === "storeLost" && line.source === source
      );
      const reason = lost === undefined ? "" : `: ${lost.fields["reason"]}`;
      return `The store did not answer ${source}${reason}`;
    }
    if (detail === "unknownKey") return "The key is not in the configuration";
    if (detail === "unknownRoute") return "No route matches the path";
    if (detail === "noServer") {
      return `No server of the service had capacity${
        describeLimits(source, context)
      }`;
    }
    if (detail === "overloaded") {
      return `The servers were too busy to answer by the deadline${
        describeLimits(source, context)
      }`;
    }
    if (detail === "crashesServers") {
      return "Servers ended while they ran the same request, so it is held";
    }
    return undefined;
  },
  attemptFailed: ({ fields }) =>
    `Server ${fields["server"]} failed: ${fields["reason"]}`,
  serverEndedDuringCall: ({ fields }) =>
    `Server ${fields["server"]} ended while it ran the call, whose content is ${
      fields["content"]
    }`,
  sampleAttemptCut: ({ fields }) =>
    `Engine ${fields["server"]} ended the text early: ${fields["reason"]}`,
  durableStepTakenOver: ({ fields }) =>
    `The node that ran the step became unreachable (process ${fields["from"]})`,
  sampleTerminated: ({ fields }) => `Terminated: ${fields["reason"]}`,
  textRestarted: ({ fields }) =>
    `No engine of software version ${
      fields["softwareVersion"]
    } could go on with the text, and ${fields["events"]} events were discarded`,
  sampleUnfinished: ({ source, fields }, context) => {
    const limits = fields["doing"] === "waitingForEngine"
      ? describeLimits(source, context)
      : "";
    return `${describeUnfinished(fields)}${limits}`;
  },
  weightOrderSent: ({ fields }) =>
    fields["outcome"] === "accepted"
      ? undefined
      : `The order to engine ${fields["server"]} had the outcome ${
        fields["outcome"]
      }`,
};

/** Descriptions of a sample's state at the end of its step, by the value of the field `doing`. */
const UNFINISHED_STATES: Readonly<Record<string, string>> = {
  asking: "the engine had not started to answer",
  reading: "the engine was still generating the text",
  scoring: "the text was complete and waited for its score",
  waitingForEngine:
    "no engine had capacity or a weight version that the step allows",
  waitingForRoute: "the configuration in force had no route for it",
};

// Names the servers whose request limits a node had to keep at that time.
function describeLimits(
  source: string,
  context: ReadonlyArray<LogLine>,
): string {
  const limits = new Map<string, string>();
  for (const line of context) {
    if (line.event !== "serverLimitUsed" || line.source !== source) continue;
    const { server, requestsPerSecond } = line.fields;
    limits.set(String(server), `${server} to ${requestsPerSecond} a second`);
  }
  if (limits.size === 0) return "";
  return `; servers limited their requests: ${[...limits.values()].join(", ")}`;
}

// The counts of attempts explain more than the state at the end of the step alone.
function describeUnfinished(fields: LogLine["fields"]): string {
  const doing = UNFINISHED_STATES[String(fields["doing"])] ??
    String(fields["doing"]);
  const counts = [
    `${fields["unusableVersions"]} attempts with unusable weight versions`,
    `${fields["refusals"]} refused attempts`,
  ].filter((count) => !count.startsWith("0 "));
  const attempts = counts.length === 0 ? "" : ` (${counts.join(", ")})`;
  return `Not finished in time: ${doing} for ${
    fields["milliseconds"]
  } ms${attempts}`;
}

/**
 * Parses log lines, ignoring text before the JSON object of a line.
 * @param text - Text of one or more log files.
 */
export function readLogLines(text: string): ReadonlyArray<LogLine> {
  return text.split("\n").flatMap((line) => {
    const start = line.indexOf("{");
    const parsed = start < 0 ? undefined : parseLine(line.slice(start));
    return parsed === undefined ? [] : [parsed];
  });
}

/**
 * Finds the lines of a request, step or sample in the logs of all nodes.
 * @param lines - Log lines of all nodes.
 * @param identifier - Identifier of the request, step or sample.
 * @example
 * ```ts
 * const { cause } = traceLogs(readLogLines(text), "9c41d07be2a35f68");
 * ```
 */
export function traceLogs(
  lines: ReadonlyArray<LogLine>,
  identifier: string,
): LogTrace {
  const found = lines.filter(({ fields }) =>
    identifier !== "" && Object.values(fields).includes(identifier)
  ).sort((left, right) => left.at - right.at);
  const context = findContext(lines, found);
  const causes = found.map((line) => CAUSES[line.event]?.(line, context))
    .filter((cause) => cause !== undefined);
  // The last condition caused the failure; retries recovered from the earlier ones.
  return { lines: found, cause: causes.at(-1) };
}

function findContext(
  lines: ReadonlyArray<LogLine>,
  found: ReadonlyArray<LogLine>,
): ReadonlyArray<LogLine> {
  const [first] = found;
  const last = found.at(-1);
  if (first === undefined || last === undefined) return [];
  return lines.filter(({ at }) =>
    at >= first.at - CONTEXT_MILLISECONDS &&
    at <= last.at + CONTEXT_MILLISECONDS
  );
}

function parseLine(text: string): LogLine | undefined {
  try {
    const json = JSON.parse(text) as Record<string, string | number | boolean>;
    const at = Date.parse(String(json["timestamp"]));
    if (typeof json["event"] !== "string" || Number.isNaN(at)) return undefined;
    const fields = Object.entries(json).filter(([name]) =>
      !COMMON_FIELDS.has(name)
    );
    return {
      source: String(json["source"]),
      event: json["event"],
      level: String(json["level"]),
      message: String(json["message"]),
      at,
      fields: Object.fromEntries(fields),
    };
  } catch {
    // The logs may contain lines of other programs.
    return undefined;
  }
}
