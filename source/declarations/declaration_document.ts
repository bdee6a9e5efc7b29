import { fromJson, type JsonValue } from "@bufbuild/protobuf";
import { LineCounter, parseDocument } from "yaml";
import {
  type Declaration,
  DeclarationSchema,
} from "../../generated/snipepath/v1/declaration_pb.ts";
import { checkDeclaration } from "./check_declaration.ts";
import type { LocatedFault } from "./located_fault.ts";
import { readMessage } from "./read_message.ts";

const MAXIMUM_SYNTAX_FAULTS = 20;

/** Declaration, or faults of its text. */
export type DeclarationOutcome =
  | { readonly kind: "ok"; readonly declaration: Declaration }
  | { readonly kind: "invalid"; readonly faults: ReadonlyArray<LocatedFault> };

/**
 * Parses and checks a declaration.
 * @param text - Declaration as YAML.
 * @returns The declaration, or the first 20 syntax faults; without these, all faults of fields and
 * types, or else all faults of content, in the order of their lines.
 * @example
 * ```ts
 * const outcome = parseDeclaration("organisations:\n- name: school-3\n");
 * ```
 */
export function parseDeclaration(text: string): DeclarationOutcome {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter, uniqueKeys: true });
  if (document.errors.length > 0) {
    const faults = document.errors.slice(0, MAXIMUM_SYNTAX_FAULTS)
      .map((error) => ({
        line: error.linePos?.[0].line ?? 1,
        field: "",
        problem: error.message.split("\n")[0] ?? "Invalid YAML",
        remedy: "Correct the YAML syntax",
      }));
    return { kind: "invalid", faults };
  }
  const result = readMessage(document.contents, {
    message: DeclarationSchema,
    toLine: (offset) => lineCounter.linePos(offset).line,
  });
  if (result.faults.length > 0) return invalid(result.faults);
  const declaration = fromJson(DeclarationSchema, result.json as JsonValue);
  const faults = checkDeclaration(declaration).map((fault) => ({
    line: findLine(result.lines, fault.field),
    field: fault.field,
    problem: fault.problem,
    remedy: fault.remedy,
  }));
  return faults.length > 0 ? invalid(faults) : { kind: "ok", declaration };
}

function invalid(faults: ReadonlyArray<LocatedFault>): DeclarationOutcome {
  const ordered = [...faults].sort((left, right) => left.line - right.line);
  return { kind: "invalid", faults: ordered };
}

function findLine(lines: ReadonlyMap<string, number>, field: string): number {
  let path = field;
  while (path !== "") {
    const line = lines.get(path);
    if (line !== undefined) return line;
    path = path.replace(/(\.?[^.[]+|\[\d+\])$/, "");
  }
  return 1;
}
