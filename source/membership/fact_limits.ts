import type { Fact } from "../../generated/snipepath/v1/peer_pb.ts";
import { digestDeclaration } from "../declarations/digest_declaration.ts";

/** Most facts of one origin that a node holds. */
export const MAXIMUM_FACTS_OF_ORIGIN = 4096;
/** Most origins that a node holds, dead ones included. */
export const MAXIMUM_ORIGINS = 2048;
/** Most facts without an origin that a node holds. */
export const MAXIMUM_SHARED_FACTS = 50_000;
const MAXIMUM_NAME_CHARACTERS = 128;
const MAXIMUM_KEY_CHARACTERS = 512;
const MAXIMUM_VERSION = BigInt(Number.MAX_SAFE_INTEGER);
const MAXIMUM_SERVERS_VERSIONS = 64;

/**
 * Returns why a fact of a peer must not be taken over; undefined when it may.
 * @param fact - The fact as it arrived.
 * @example
 * ```ts
 * const fault = factFault(fact);
 * if (fault !== undefined) return;
 * ```
 */
export function factFault(fact: Fact): string | undefined {
  const value = fact.value;
  if (value.case === undefined) return "no value";
  if (!isName(fact.origin) || !isName(fact.originStart)) return "bad origin";
  if (!isVersion(fact.version)) return "bad version";
  if (fact.key === "" || fact.key.length > MAXIMUM_KEY_CHARACTERS) {
    return "bad key";
  }
  if (value.case === "configuration") return configurationFault(fact);
  if (value.case === "usage" && value.value.figures === undefined) {
    return "usage without figures";
  }
  if (
    value.case === "backendServer" &&
    value.value.weightVersions.length > MAXIMUM_SERVERS_VERSIONS
  ) {
    return "too many weight versions";
  }
  return undefined;
}

/**
 * Returns whether text can name a node or a process.
 * @param name - The text.
 */
export function isName(name: string): boolean {
  return name !== "" && name.length <= MAXIMUM_NAME_CHARACTERS;
}

/**
 * Returns whether a number can be the version of a fact.
 * @param version - The number.
 */
export function isVersion(version: bigint): boolean {
  return version > 0n && version <= MAXIMUM_VERSION;
}

function configurationFault(fact: Fact): string | undefined {
  if (fact.value.case !== "configuration") return undefined;
  const record = fact.value.value.record;
  if (record?.declaration === undefined) return "configuration is empty";
  if (!isVersion(record.revision)) return "bad configuration revision";
  if (fact.key !== "configuration") return "bad configuration key";
  const isIntact = digestDeclaration(record.declaration) === record.digest;
  return isIntact ? undefined : "configuration does not match its digest";
}
