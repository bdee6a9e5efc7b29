import { createHash } from "node:crypto";
import { toBinary } from "@bufbuild/protobuf";
import {
  type Declaration,
  DeclarationSchema,
} from "../../generated/snipepath/v1/declaration_pb.ts";

/**
 * Returns the SHA-256 digest of a declaration, in hexadecimal; equal declarations have equal
 * digests.
 * @param declaration - Declaration to digest.
 * @example
 * ```ts
 * const isSame = digestDeclaration(left) === digestDeclaration(right);
 * ```
 */
export function digestDeclaration(declaration: Declaration): string {
  return createHash("sha256")
    .update(toBinary(DeclarationSchema, declaration))
    .digest("hex");
}
