import { readFileSync } from "node:fs";
import {
  type LogLine,
  readLogLines,
  traceLogs,
} from "../observability/log_trace.ts";
import { EXIT_STATUS, type ExitStatus } from "./exit_status.ts";

/** Identifier to trace, log files to search and destination of the output. */
export interface TraceOptions {
  /** Identifier of a request, step or sample. */
  readonly identifier: string;
  /** Paths of log files, of one or more nodes. */
  readonly files: ReadonlyArray<string>;
  /** Writes a line of the output. */
  readonly write: (line: string) => void;
}

/**
 * Prints the log lines of a request, step or sample, earliest first, and the condition that caused
 * its failure.
 * @param options - Identifier, files and destination.
 */
export function runTrace(options: TraceOptions): ExitStatus {
  const { identifier, files, write } = options;
  const lines: LogLine[] = [];
  for (const file of files) {
    try {
      lines.push(...readLogLines(readFileSync(file, "utf8")));
    } catch (error) {
      write(`${file}: ${error instanceof Error ? error.message : error}`);
      return EXIT_STATUS.usage;
    }
  }
  const trace = traceLogs(lines, identifier);
  for (const line of trace.lines) write(formatLine(line));
  write(
    trace.lines.length === 0
      ? `No log line contains ${identifier}`
      : `Condition: ${trace.cause ?? "none"}`,
  );
  return EXIT_STATUS.done;
}

function formatLine({ at, source, event, fields }: LogLine): string {
  const details = Object.entries(fields).map(([name, value]) =>
    `${name}=${value}`
  );
  return [new Date(at).toISOString(), source, event, ...details].join(" ");
}
