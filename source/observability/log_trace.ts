/** One line of a program's log. */
export interface LogLine {
  readonly source: string;
  readonly event: string;
  readonly level: string;
  readonly message: string;
  /** Unix milliseconds by the clock of the node that wrote it. */
  readonly at: number;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** What the lines tell of one request, step or sample. */
export interface LogTrace {
  /** Lines about it, in the order of their times. */
  readonly lines: ReadonlyArray<LogLine>;
  /** The condition that kept it from success; undefined when no line shows one. */
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

/** Lines of a node count as near when they are at most so far from the traced ones. */
const NEAR_MILLISECONDS = 3000;

/** Names the condition behind a line, or undefined when the line tells of none. */
type FindCause = (
  line: LogLine,
  near: ReadonlyArray<LogLine>,
) => string | undefined;

const CAUSES: Readonly<Record<string, FindCause>> = {
  callEnded: ({ source, fields }, near) => {
    const detail = String(fields["detail"]);
    if (detail === "staleKeys" || detail === "storeAway") {
      const lost = near.find((line) =>
        line.event === "storeLost" && line.source === source
      );
      const reason = lost === undefined ? "" : `: ${lost.fields["reason"]}`;
      return `The store did not answer ${source}${reason}`;
    }
    if (detail === "unknownKey") return "The key is not in the configuration";
    if (detail === "unknownRoute") return "No route takes the path";
    if (detail === "noServer") return "All servers of the service were full";
    return undefined;
  },
  attemptFailed: ({ fields }) =>
    `Server ${fields["server"]} failed: ${fields["reason"]}`,
  sampleAttemptCut: ({ fields }) =>
    `Engine ${fields["server"]} broke the text off: ${fields["reason"]}`,
  durableStepTakenOver: ({ fields }) =>
    `The node that ran the step was lost (process ${fields["from"]})`,
  sampleTerminated: ({ fields }) => `Given up: ${fields["reason"]}`,
  sampleUnfinished: ({ fields }) => describeUnfinished(fields),
  weightOrderSent: ({ fields }) =>
    fields["outcome"] === "accepted"
      ? undefined
      : `The order to engine ${fields["server"]} ended as ${fields["outcome"]}`,
};

/** What an unfinished sample was doing, as the condition that kept it. */
const UNFINISHED: Readonly<Record<string, string>> = {
  asking: "an engine had not begun to answer",
  reading: "an engine was still making the text",
  scoring: "the text was whole and waited for its score",
  waitingForEngine: "no engine had room or the weights that the step allows",
  waitingForRoute: "no configuration in force had a route for it",
};

// Refused attempts and unusable versions tell more than the moment of the end.
function describeUnfinished(fields: LogLine["fields"]): string {
  const doing = UNFINISHED[String(fields["doing"])] ?? String(fields["doing"]);
  const counts = [
    `${fields["unusableVersions"]} attempts with weights not allowed`,
    `${fields["refusals"]} refused`,
  ].filter((count) => !count.startsWith("0 "));
  const attempts = counts.length === 0 ? "" : ` (${counts.join(", ")})`;
  return `Not finished in time: ${doing} for ${
    fields["milliseconds"]
  } ms${attempts}`;
}

/**
 * Reads lines of logs; a prefix before the JSON object is passed over.
 * @param text - The text of one or more files.
 */
export function readLogLines(text: string): ReadonlyArray<LogLine> {
  return text.split("\n").flatMap((line) => {
    const start = line.indexOf("{");
    const parsed = start < 0 ? undefined : parseLine(line.slice(start));
    return parsed === undefined ? [] : [parsed];
  });
}

/**
 * Finds the path of a request, step or sample through the logs of all nodes.
 * @param lines - Lines of all nodes.
 * @param identifier - The identifier of what is traced.
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
  const near = findNear(lines, found);
  const causes = found.map((line) => CAUSES[line.event]?.(line, near))
    .filter((cause) => cause !== undefined);
  // The last condition is the one that decided; earlier ones were overcome.
  return { lines: found, cause: causes.at(-1) };
}

function findNear(
  lines: ReadonlyArray<LogLine>,
  found: ReadonlyArray<LogLine>,
): ReadonlyArray<LogLine> {
  const [first] = found;
  const last = found.at(-1);
  if (first === undefined || last === undefined) return [];
  return lines.filter(({ at }) =>
    at >= first.at - NEAR_MILLISECONDS && at <= last.at + NEAR_MILLISECONDS
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
    // Lines of other programs stand between those of ours.
    return undefined;
  }
}
