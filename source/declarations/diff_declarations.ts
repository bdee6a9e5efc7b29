import { toJson } from "@bufbuild/protobuf";
import {
  type Declaration,
  DeclarationSchema,
} from "../../generated/snipepath/v1/declaration_pb.ts";

/** Difference between two declarations in one field. */
export interface DeclarationChange {
  readonly kind: "added" | "removed" | "changed";
  /** Path of the field, such as "routes/status.repeatable". */
  readonly field: string;
  /** Old value as text; empty when added. */
  readonly before: string;
  /** New value as text; empty when removed. */
  readonly after: string;
}

/**
 * Lists the changes that a new declaration would make.
 * @param before - Declaration in force; undefined for none.
 * @param after - New declaration.
 * @example
 * ```ts
 * for (const change of diffDeclarations(current, wanted)) console.log(change.field);
 * ```
 */
export function diffDeclarations(
  before: Declaration | undefined,
  after: Declaration,
): ReadonlyArray<DeclarationChange> {
  const left = before === undefined ? new Map() : flatten(before);
  const right = flatten(after);
  const fields = [...new Set([...left.keys(), ...right.keys()])].sort();
  return fields.flatMap((field) =>
    compareField(field, left.get(field), right.get(field))
  );
}

function compareField(
  field: string,
  before: string | undefined,
  after: string | undefined,
): DeclarationChange[] {
  if (before === after) return [];
  if (before === undefined) {
    return [{ kind: "added", field, before: "", after: after ?? "" }];
  }
  if (after === undefined) {
    return [{ kind: "removed", field, before, after: "" }];
  }
  return [{ kind: "changed", field, before, after }];
}

function flatten(declaration: Declaration): Map<string, string> {
  const values = new Map<string, string>();
  flattenInto(values, "", toJson(DeclarationSchema, declaration));
  return values;
}

function flattenInto(
  values: Map<string, string>,
  path: string,
  json: unknown,
): void {
  if (Array.isArray(json)) {
    json.forEach((item, index) =>
      flattenInto(values, `${path}/${findName(item) ?? index}`, item)
    );
    return;
  }
  if (typeof json !== "object" || json === null) {
    values.set(path, String(json));
    return;
  }
  for (const [name, value] of Object.entries(json)) {
    flattenInto(values, path === "" ? name : `${path}.${name}`, value);
  }
}

function findName(item: unknown): string | undefined {
  const isNamed = typeof item === "object" && item !== null && "name" in item;
  return isNamed ? String(item.name) : undefined;
}
