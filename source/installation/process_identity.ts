/** Separates a node's name from the random part; names of nodes don't contain it. */
const SEPARATOR = "/";

/**
 * Builds the identity of a node's process, which differs at each start.
 * @param node - Name of the node.
 * @param start - Random text, new at each start.
 * @example
 * ```ts
 * toProcessIdentity("front-1", "9c41d07b"); // "front-1/9c41d07b"
 * ```
 */
export function toProcessIdentity(node: string, start: string): string {
  return `${node}${SEPARATOR}${start}`;
}

/** Returns the name of a process's node; the whole identity when it contains no separator. */
export function readNodeName(identity: string): string {
  return identity.slice(0, findSeparator(identity));
}

/** Returns the random part of an identity; empty when it contains no separator. */
export function readStart(identity: string): string {
  return identity.slice(findSeparator(identity) + SEPARATOR.length);
}

function findSeparator(identity: string): number {
  const index = identity.lastIndexOf(SEPARATOR);
  return index < 0 ? identity.length : index;
}
