import type { NodeRegister } from "./node_register.ts";

/**
 * Returns the last usage window that all nodes have settled which may still count calls.
 * @param register - The nodes.
 * @param countingMilliseconds - Time for which a node may count calls after its last heartbeat.
 * @returns The index of the window; undefined while the view of the nodes is not current.
 */
export function findSettledWindow(
  register: NodeRegister,
  countingMilliseconds: number,
): number | undefined {
  if (!register.isCurrent) return undefined;
  const settled = register.heardWithin(countingMilliseconds).map((node) =>
    node.usageSettledThrough
  );
  return Math.min(...settled);
}
