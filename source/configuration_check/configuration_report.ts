import type { DocumentChange } from "../declarations/diff_documents.ts";
import type { Finding, Severity } from "./finding.ts";

/** Result of a check. */
export interface ConfigurationReport {
  /** Version of the document; undefined when it can't be read. */
  readonly version: number | undefined;
  /** What the document was compared with. */
  readonly comparison: Comparison;
  readonly findings: ReadonlyArray<Finding>;
  /** Differences from the configuration in force; none without one. */
  readonly changes: ReadonlyArray<DocumentChange>;
}

/** The configuration in force, as far as it is known. */
export type Comparison =
  | { readonly kind: "notAsked" }
  /** The store has no configuration. */
  | { readonly kind: "none" }
  | { readonly kind: "version"; readonly version: number | undefined };

const RANKS: Readonly<Record<Severity, number>> = {
  error: 0,
  warning: 1,
  information: 2,
};

/**
 * Orders findings by severity and keeps the order of those with the same one.
 * @param findings - The findings.
 */
export function orderFindings(
  findings: ReadonlyArray<Finding>,
): ReadonlyArray<Finding> {
  return [...findings].sort((left, right) =>
    RANKS[left.severity] - RANKS[right.severity]
  );
}

/**
 * Formats a report as text, one finding or difference a line.
 * @param report - The report.
 * @example
 * ```ts
 * output.writeLine(formatReport(report));
 * ```
 */
export function formatReport(report: ConfigurationReport): string {
  const { findings } = report;
  return [
    ...findings.map(formatFinding),
    Object.keys(RANKS).map((severity) =>
      `${severity}: ${count(findings, severity as Severity)}`
    ).join(", "),
    ...formatChanges(report),
  ].join("\n");
}

function formatFinding(finding: Finding): string {
  const { severity, path, message, remedy, kind } = finding;
  const place = path === "" ? "" : `${path}: `;
  return `${severity}: ${place}${message}. ${remedy}. [${kind}]`;
}

function count(findings: ReadonlyArray<Finding>, severity: Severity): number {
  return findings.filter((finding) => finding.severity === severity).length;
}

function formatChanges(
  { comparison, changes }: ConfigurationReport,
): ReadonlyArray<string> {
  if (comparison.kind === "notAsked") return [];
  const against = comparison.kind === "none"
    ? "No configuration is in force"
    : `Against version ${comparison.version ?? "(none)"}`;
  if (changes.length === 0) return [`${against}: no change`];
  return [
    `${against}:`,
    ...changes.map((change) =>
      `${change.kind} ${change.field}: ${change.before} -> ${change.after}`
    ),
  ];
}
