import type { Tier } from "../platform/orders_client.ts";
import type { ServerCount, ServerSlot } from "./spend_planner.ts";

/** A server that runs or is being started. */
export interface PlannedServer extends ServerSlot {
  /** Empty while it is being started. */
  readonly address: string;
  readonly leaving: boolean;
}

/** What orders are planned from. */
export interface OrderPlanInput {
  readonly wanted: ReadonlyArray<ServerCount>;
  readonly servers: ReadonlyArray<PlannedServer>;
  /** Servers that must go on running until the new ones run. */
  readonly neededServers: number;
  /** Most servers at any moment, those that are being started included. */
  readonly maximumServers: number;
  readonly microsPerHour: Readonly<Record<Tier, number>>;
  /** Highest cost of all servers together; 0 for none. */
  readonly boundMicrosPerHour: number;
}

/** Orders that lead from the servers there are to those that are wanted. */
export interface OrderPlan {
  readonly start: ReadonlyArray<ServerSlot>;
  /** Addresses of the servers to stop. */
  readonly stop: ReadonlyArray<string>;
}

const TIERS: ReadonlyArray<Tier> = ["steady", "cheap"];

/**
 * Plans the orders that lead from the servers there are to those that are wanted. A surplus
 * server is stopped only while the servers that run without it are enough, and none is
 * started beyond the bounds on number and cost.
 * @param input - Wanted and present servers.
 * @example
 * ```ts
 * const { start, stop } = planOrders({ ...bounds, wanted: plan.wanted, servers });
 * ```
 */
export function planOrders(input: OrderPlanInput): OrderPlan {
  const staying = input.servers.filter((server) => !server.leaving);
  const start: ServerSlot[] = [];
  const surplus: PlannedServer[] = [];
  for (const slot of findSlots(input)) {
    const present = staying.filter((server) => isIn(server, slot));
    const wanted = input.wanted.find((count) => isIn(count, slot))?.servers ??
      0;
    const missing = Math.max(0, wanted - present.length);
    start.push(...Array<ServerSlot>(missing).fill(slot));
    const idleFirst = [...present].sort((left, right) =>
      left.address < right.address ? 1 : -1
    );
    surplus.push(...idleFirst.slice(0, Math.max(0, present.length - wanted)));
  }
  const running = staying.filter((server) => server.address !== "").length;
  const spare = Math.max(0, running - input.neededServers);
  const stop = surplus.map(({ address }) => address)
    .filter((address) => address !== "").slice(0, spare);
  return { start: withinBounds(start, staying, input), stop };
}

function withinBounds(
  start: ReadonlyArray<ServerSlot>,
  staying: ReadonlyArray<PlannedServer>,
  input: OrderPlanInput,
): ReadonlyArray<ServerSlot> {
  const { maximumServers, microsPerHour, boundMicrosPerHour } = input;
  let servers = staying.length;
  let cost = staying.reduce((sum, { tier }) => sum + microsPerHour[tier], 0);
  return start.filter(({ tier }) => {
    const isTooMany = servers + 1 > maximumServers;
    const isTooDear = boundMicrosPerHour > 0 &&
      cost + microsPerHour[tier] > boundMicrosPerHour;
    if (isTooMany || isTooDear) return false;
    servers += 1;
    cost += microsPerHour[tier];
    return true;
  });
}

function findSlots(input: OrderPlanInput): ReadonlyArray<ServerSlot> {
  const domains = new Set(
    [...input.wanted, ...input.servers].map((entry) => entry.failureDomain),
  );
  return [...domains].sort().flatMap((failureDomain) =>
    TIERS.map((tier) => ({ failureDomain, tier }))
  );
}

function isIn(entry: ServerSlot, slot: ServerSlot): boolean {
  return entry.failureDomain === slot.failureDomain && entry.tier === slot.tier;
}
