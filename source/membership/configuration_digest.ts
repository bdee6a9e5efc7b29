import { createHash } from "node:crypto";
import { toJsonString } from "@bufbuild/protobuf";
import {
  type Declaration,
  DeclarationSchema,
} from "../../generated/snipepath/v1/declaration_pb.ts";

/**
 * Returns the SHA-256 of a declaration's canonical JSON, in hexadecimal.
 * @param declaration - The declaration.
 * @example
 * ```ts
 * const isSame = configurationDigest(declaration) === record.digest;
 * ```
 */
export function configurationDigest(declaration: Declaration): string {
  const canonical = toJsonString(DeclarationSchema, declaration);
  return createHash("sha256").update(canonical).digest("hex");
}
