import { readFileSync, writeFileSync } from "node:fs";
import { type LogLine, readLogLines } from "../observability/log_trace.ts";
import { accountForSteps } from "../observability/step_account.ts";
import { readStepRecords } from "../observability/step_records.ts";
import { type CommandOutput, formatJson } from "./command_output.ts";
import { EXIT_STATUS, type ExitStatus } from "./exit_status.ts";
import { drawAccounts } from "./step_account_picture.ts";
import { formatAccounts } from "./step_account_text.ts";

/** Log files to read and destinations of the account. */
export interface AccountOptions {
  /** Paths of log files, of one or more nodes. */
  readonly files: ReadonlyArray<string>;
  readonly isJson: boolean;
  /** Path of the SVG file to write; no picture when absent. */
  readonly picture?: string | undefined;
  readonly output: CommandOutput;
}

/**
 * Prints where the time of trainers' steps went, from the log files of all nodes.
 * @param options - Files and destinations.
 * @returns `usage` when a file can't be read or written.
 * @example
 * ```ts
 * await runAccount({ files: ["n1.log"], isJson: false, output: PROCESS_OUTPUT });
 * ```
 */
export async function runAccount(options: AccountOptions): Promise<ExitStatus> {
  const { files, isJson, picture, output } = options;
  const lines: LogLine[] = [];
  for (const file of files) {
    try {
      lines.push(...readLogLines(readFileSync(file, "utf8")));
    } catch (error) {
      return failFile(output, file, error);
    }
  }
  const records = readStepRecords(lines);
  if (records.length === 0) {
    output.writeLine("No log line shows an accepted step");
    return EXIT_STATUS.done;
  }
  const endsAt = lines.reduce((last, { at }) => Math.max(last, at), 0);
  const accounts = accountForSteps(records, { endsAt });
  output.writeLine(isJson ? formatJson(accounts) : formatAccounts(accounts));
  if (picture !== undefined) {
    try {
      writeFileSync(picture, await drawAccounts(accounts));
    } catch (error) {
      return failFile(output, picture, error);
    }
  }
  return EXIT_STATUS.done;
}

function failFile(
  output: CommandOutput,
  file: string,
  error: unknown,
): ExitStatus {
  const reason = error instanceof Error ? error.message : String(error);
  output.writeDiagnostic(`${file}: ${reason}`);
  return EXIT_STATUS.usage;
}
