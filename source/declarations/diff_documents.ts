/** Difference between two documents in one field. */
export interface DocumentChange {
  readonly kind: "added" | "removed" | "changed";
  /** Path of the field, such as "routes/status.repeatable". */
  readonly field: string;
  /** Old value as text; empty when added. */
  readonly before: string;
  /** New value as text; empty when removed. */
  readonly after: string;
}

/**
 * Lists the differences between two JSON documents; entries of lists are compared by their name.
 * @param before - JSON of the earlier document; undefined for none.
 * @param after - JSON of the later document.
 * @example
 * ```ts
 * for (const change of diffDocuments(current, wanted)) console.log(change.field);
 * ```
 */
export function diffDocuments(
  before: unknown,
  after: unknown,
): ReadonlyArray<DocumentChange> {
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
): DocumentChange[] {
  if (before === after) return [];
  if (before === undefined) {
    return [{ kind: "added", field, before: "", after: after ?? "" }];
  }
  if (after === undefined) {
    return [{ kind: "removed", field, before, after: "" }];
  }
  return [{ kind: "changed", field, before, after }];
}

function flatten(document: unknown): Map<string, string> {
  const values = new Map<string, string>();
  flattenInto(values, "", document);
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
