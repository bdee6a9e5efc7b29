/** Destination of a command's output. */
export interface CommandOutput {
  /** Writes a line of the result to standard output. */
  writeLine(text: string): void;
  /** Writes a line about progress or a problem to standard error. */
  writeDiagnostic(text: string): void;
}

/** Writes to the streams of this process. */
export const PROCESS_OUTPUT: CommandOutput = {
  writeLine(text): void {
    process.stdout.write(text + "\n");
  },
  writeDiagnostic(text): void {
    process.stderr.write(text + "\n");
  },
};

/**
 * Formats rows as a table with aligned columns.
 * @param headings - Heading of each column.
 * @param rows - Cells by row, as many in a row as there are headings.
 * @example
 * ```ts
 * formatTable(["node", "state"], [["node-1", "live"]]);
 * ```
 */
export function formatTable(
  headings: ReadonlyArray<string>,
  rows: ReadonlyArray<ReadonlyArray<string>>,
): string {
  const lines = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? "").length))
  );
  return lines.map((line) =>
    line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  ).join("\n");
}

/**
 * Formats a value as JSON, with 64-bit integers as text.
 * @param value - Value to format.
 */
export function formatJson(value: unknown): string {
  return JSON.stringify(
    value,
    (_, part: unknown) => typeof part === "bigint" ? part.toString() : part,
    2,
  );
}
