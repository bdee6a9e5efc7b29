/** Separates a node's name from the random part that is new at each start; names of nodes have none. */
const SEPARATOR = "/";

/**
 * Names one process of a node.
 * @param node - Name of the node.
 * @param start - Drawn at random at each start.
 * @example
 * ```ts
 * toProcessIdentity("front-1", "9c41d07b"); // "front-1/9c41d07b"
 * ```
 */
export function toProcessIdentity(node: string, start: string): string {
  return `${node}${SEPARATOR}${start}`;
}

/** Returns the name of the node that a process ran on; the whole identity when it names none. */
export function readNodeName(identity: string): string {
  return identity.slice(0, findSeparator(identity));
}

/** Returns the part of an identity that is new at each start. */
export function readStart(identity: string): string {
  return identity.slice(findSeparator(identity) + SEPARATOR.length);
}

function findSeparator(identity: string): number {
  const index = identity.lastIndexOf(SEPARATOR);
  return index < 0 ? identity.length : index;
}
