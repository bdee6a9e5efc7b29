import type { NodeContext } from "../context/node_context.ts";

const SETTLE_MILLISECONDS = 12_000;

/** Start of the window that a wall time lies in, in milliseconds since the Unix epoch. */
export function findWindowStart(context: NodeContext): number {
  const length = context.settings.usageWindowMilliseconds;
  return Math.floor(context.clock.wall() / length) * length;
}

/** Returns whether a window has ended so long ago that its usage has been told to all. */
export function isDue(windowStart: number, context: NodeContext): boolean {
  const length = context.settings.usageWindowMilliseconds;
  const settle = Math.min(SETTLE_MILLISECONDS, length);
  return context.clock.wall() >= windowStart + length + settle;
}
