import type { Fact } from "../../generated/snipepath/v1/peer_pb.ts";
import { digestDeclaration } from "../declarations/digest_declaration.ts";

/** Maximum number of facts that a node holds for one origin. */
export const MAXIMUM_FACTS_OF_ORIGIN = 4096;
/** Maximum number of origins that a node holds, expired ones included. */
export const MAXIMUM_ORIGINS = 2048;
/** Maximum number of facts without an origin that a node holds. */
export const MAXIMUM_SHARED_FACTS = 50_000;
const MAXIMUM_NAME_CHARACTERS = 128;
const MAXIMUM_KEY_CHARACTERS = 512;
const MAXIMUM_VERSION = BigInt(Number.MAX_SAFE_INTEGER);
const MAXIMUM_WEIGHT_VERSIONS_PER_SERVER = 64;

/**
 * Validates a fact received from a peer.
 * @param fact - The received fact.
 * @returns The reason for rejecting the fact, or undefined when the fact is valid.
 * @example
 * ```ts
 * const reason = factRejectionReason(fact);
 * if (reason !== undefined) return;
 * ```
 */
export function factRejectionReason(fact: Fact): string | undefined {
  const value = fact.value;
  if (value.case === undefined) return "fact has no value";
  if (!isValidName(fact.origin) || !isValidName(fact.originStart)) {
    return "origin is empty or too long";
  }
  if (!isValidVersion(fact.version)) return "version is out of range";
  if (fact.key === "" || fact.key.length > MAXIMUM_KEY_CHARACTERS) {
    return "key is empty or too long";
  }
  if (value.case === "configuration") return configurationRejectionReason(fact);
  if (value.case === "usage" && value.value.figures === undefined) {
    return "usage without figures";
  }
  if (
    value.case === "backendServer" &&
    value.value.weightVersions.length > MAXIMUM_WEIGHT_VERSIONS_PER_SERVER
  ) {
    return "too many weight versions";
  }
  return undefined;
}

/**
 * Returns whether a name is valid for a node or for the start identity of a process.
 * @param name - The name.
 */
export function isValidName(name: string): boolean {
  return name !== "" && name.length <= MAXIMUM_NAME_CHARACTERS;
}

/**
 * Returns whether the version of a fact is in the valid range.
 * @param version - The version.
 */
export function isValidVersion(version: bigint): boolean {
  return version > 0n && version <= MAXIMUM_VERSION;
}

function configurationRejectionReason(fact: Fact): string | undefined {
  if (fact.value.case !== "configuration") return undefined;
  const record = fact.value.value.record;
  if (record?.declaration === undefined) {
    return "configuration has no declaration";
  }
  if (!isValidVersion(record.revision)) {
    return "configuration revision is out of range";
  }
  if (fact.key !== "configuration") return "configuration has the wrong key";
  const isIntact = digestDeclaration(record.declaration) === record.digest;
  return isIntact ? undefined : "configuration does not match its digest";
}
