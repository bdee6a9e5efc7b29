import { readFile } from "node:fs/promises";
import type { Declaration } from "../../generated/snipepath/v1/declaration_pb.ts";
import { parseDeclaration } from "../declarations/declaration_document.ts";
import type { LocatedFault } from "../declarations/located_fault.ts";
import { type CommandOutput, formatJson } from "./command_output.ts";

/** Destination and format of the faults of a declaration. */
export interface LoadDeclarationOptions {
  readonly output: CommandOutput;
  readonly isJson: boolean;
}

/**
 * Loads and checks a declaration, and writes the faults found.
 * @param path - Path of the YAML file.
 * @param options - Destination and format of the faults.
 * @returns The declaration; undefined when the file can't be read or is invalid.
 */
export async function loadDeclarationFile(
  path: string,
  options: LoadDeclarationOptions,
): Promise<Declaration | undefined> {
  const textOrError = await readFile(path, "utf8").catch((error: Error) =>
    error
  );
  if (typeof textOrError !== "string") {
    options.output.writeDiagnostic(
      `Can't read ${path}: ${textOrError.message}`,
    );
    return undefined;
  }
  const outcome = parseDeclaration(textOrError);
  if (outcome.kind === "ok") return outcome.declaration;
  if (options.isJson) {
    options.output.writeLine(formatJson({ faults: outcome.faults }));
  } else {
    for (const fault of outcome.faults) {
      options.output.writeLine(`${path}:${fault.line}: ${formatFault(fault)}`);
    }
  }
  options.output.writeDiagnostic(
    `${outcome.faults.length} faults in ${path}; nothing was changed`,
  );
  return undefined;
}

function formatFault(fault: LocatedFault): string {
  const field = fault.field === "" ? "" : `${fault.field}: `;
  return `${field}${fault.problem}. ${fault.remedy}.`;
}
