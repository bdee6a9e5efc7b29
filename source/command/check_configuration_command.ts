import { readFile } from "node:fs/promises";
import { checkConfiguration } from "../configuration_check/check_configuration.ts";
import {
  type Comparison,
  type ConfigurationReport,
  formatReport,
  orderFindings,
} from "../configuration_check/configuration_report.ts";
import type { Finding } from "../configuration_check/finding.ts";
import { describeIgnoredFields } from "../configuration_check/ignored_field_findings.ts";
import { diffDocuments } from "../declarations/diff_documents.ts";
import type { ConfigurationDocument } from "../installation/configuration_document.ts";
import type { InstallationSettings } from "../installation/installation_settings.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import { type CommandOutput, formatJson } from "./command_output.ts";
import { EXIT_STATUS, type ExitStatus } from "./exit_status.ts";

/** How the installation's formats are read and written. */
export interface ConfigurationFormats {
  readonly readDocument: (json: unknown) => ConfigurationDocument;
  readonly readSettings: (
    text: string,
  ) =>
    | { readonly kind: "read"; readonly settings: InstallationSettings }
    | { readonly kind: "invalid"; readonly problem: string };
  /** Reads the value of the row in the store; undefined when there is none. */
  readonly readStore: (
    address: string,
  ) => Promise<PlatformOutcome<Buffer | undefined>>;
  /** Writes a path in our types with the document's names. */
  readonly writePath: (path: string, json: unknown) => string;
  /** Makes a document comparable, without keys. */
  readonly toComparable: (json: unknown) => unknown;
}

/** Options of `snipepath check-configuration`. */
export interface CheckConfigurationOptions {
  readonly file: string;
  /** File with the configuration in force. */
  readonly inForce: string | undefined;
  /** HOST:PORT of the store that has the configuration in force. */
  readonly store: string | undefined;
  /** Settings file of a node. */
  readonly settings: string | undefined;
  readonly isJson: boolean;
  readonly output: CommandOutput;
  readonly formats: ConfigurationFormats;
}

/** What was read, or why it can't be read. */
type ReadOutcome<Value> =
  | { readonly kind: "read"; readonly value: Value }
  | { readonly kind: "unreadable"; readonly problem: string };

interface CheckSources {
  readonly text: string;
  /** Undefined when nothing is in force or it was not asked for. */
  readonly inForce: string | undefined;
  readonly settings: InstallationSettings | undefined;
}

/**
 * Checks the configuration of an installation before it is sent, and writes a report. It only reads.
 * @param options - Files, store and output.
 * @returns 0 without errors, 1 with errors, 2 when a file or the store can't be read.
 */
export async function runCheckConfiguration(
  options: CheckConfigurationOptions,
): Promise<ExitStatus> {
  const sources = await readSources(options);
  if (sources.kind === "unreadable") {
    options.output.writeDiagnostic(sources.problem);
    return EXIT_STATUS.unreadable;
  }
  const report = createReport(options, sources.value);
  options.output.writeLine(
    options.isJson ? formatJson(report) : formatReport(report),
  );
  return report.findings.some(({ severity }) => severity === "error")
    ? EXIT_STATUS.invalid
    : EXIT_STATUS.done;
}

async function readSources(
  options: CheckConfigurationOptions,
): Promise<ReadOutcome<CheckSources>> {
  if (options.inForce !== undefined && options.store !== undefined) {
    const problem = "Specify either --in-force or --store";
    return { kind: "unreadable", problem };
  }
  const text = await readText(options.file);
  if (text.kind === "unreadable") return text;
  const inForce = await readInForce(options);
  if (inForce.kind === "unreadable") return inForce;
  if (inForce.value !== undefined && parse(inForce.value) === undefined) {
    const problem = "The configuration in force is not JSON";
    return { kind: "unreadable", problem };
  }
  const settings = await readSettings(options);
  if (settings.kind === "unreadable") return settings;
  return {
    kind: "read",
    value: {
      text: text.value,
      inForce: inForce.value,
      settings: settings.value,
    },
  };
}

async function readText(path: string): Promise<ReadOutcome<string>> {
  return await readFile(path, "utf8").then(
    (value): ReadOutcome<string> => ({ kind: "read", value }),
    (error: Error): ReadOutcome<string> => ({
      kind: "unreadable",
      problem: `Can't read ${path}: ${error.message}`,
    }),
  );
}

async function readInForce(
  { inForce, store, formats }: CheckConfigurationOptions,
): Promise<ReadOutcome<string | undefined>> {
  if (inForce !== undefined) return await readText(inForce);
  if (store === undefined) return { kind: "read", value: undefined };
  const outcome = await formats.readStore(store);
  if (outcome.kind === "ok") {
    return { kind: "read", value: outcome.value?.toString() };
  }
  const problem = `Can't read the store at ${store}: ${outcome.reason}`;
  return { kind: "unreadable", problem };
}

async function readSettings(
  { settings, formats }: CheckConfigurationOptions,
): Promise<ReadOutcome<InstallationSettings | undefined>> {
  if (settings === undefined) return { kind: "read", value: undefined };
  const text = await readText(settings);
  if (text.kind === "unreadable") return text;
  const outcome = formats.readSettings(text.value);
  return outcome.kind === "read" ? { kind: "read", value: outcome.settings } : {
    kind: "unreadable",
    problem: `Can't read ${settings}: ${outcome.problem}`,
  };
}

function createReport(
  options: CheckConfigurationOptions,
  { text, inForce, settings }: CheckSources,
): ConfigurationReport {
  const { formats } = options;
  const json = parse(text);
  const document = formats.readDocument(json);
  const jsonInForce = inForce === undefined ? undefined : parse(inForce);
  const documentInForce = inForce === undefined
    ? undefined
    : formats.readDocument(jsonInForce);
  const bytes = Buffer.byteLength(text);
  const findings = checkConfiguration({
    document,
    bytes,
    inForce: documentInForce,
    settings,
  });
  const found: ReadonlyArray<Finding> = [
    ...describeIgnoredFields(document.ignored),
    ...findings.map((finding) => ({
      ...finding,
      path: formats.writePath(finding.path, json),
    })),
  ];
  const comparison = describeComparison(options, documentInForce);
  return {
    version: document.version,
    comparison,
    findings: orderFindings(found),
    changes: comparison.kind === "notAsked" ? [] : diffDocuments(
      formats.toComparable(jsonInForce),
      formats.toComparable(json),
    ),
  };
}

function describeComparison(
  options: CheckConfigurationOptions,
  inForce: ConfigurationDocument | undefined,
): Comparison {
  if (inForce !== undefined) {
    return { kind: "version", version: inForce.version };
  }
  return { kind: options.store === undefined ? "notAsked" : "none" };
}

// The parser's message may quote a part of the text, and with it a key.
function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
