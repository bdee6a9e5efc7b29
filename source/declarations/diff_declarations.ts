import { toJson } from "@bufbuild/protobuf";
import {
  type Declaration,
  DeclarationSchema,
} from "../../generated/snipepath/v1/declaration_pb.ts";
import { diffDocuments, type DocumentChange } from "./diff_documents.ts";

/** Difference between two declarations in one field. */
export type DeclarationChange = DocumentChange;

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
  return diffDocuments(
    before === undefined ? undefined : toJson(DeclarationSchema, before),
    toJson(DeclarationSchema, after),
  );
}
