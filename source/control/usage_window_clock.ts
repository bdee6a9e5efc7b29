import type { NodeContext } from "../context/node_context.ts";

/** Time after the end of a window in which the window's usage reaches all nodes. */
const PROPAGATION_MILLISECONDS = 12_000;

/** Returns the start of the current window by the wall clock, in milliseconds since the Unix epoch. */
export function findWindowStart(context: NodeContext): number {
  const length = context.settings.usageWindowMilliseconds;
  return Math.floor(context.clock.wall() / length) * length;
}

/** Returns whether a window ended long enough ago for its usage to have reached all nodes. */
export function isWindowDue(
  windowStart: number,
  context: NodeContext,
): boolean {
  const length = context.settings.usageWindowMilliseconds;
  const propagation = Math.min(PROPAGATION_MILLISECONDS, length);
  return context.clock.wall() >= windowStart + length + propagation;
}
