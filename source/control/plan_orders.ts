import type { Tier } from "../platform/orders_client.ts";
import {
  countAfterLoss,
  type ServerCount,
  type ServerSlot,
} from "./spend_planner.ts";

/** A server that runs or is being started. */
export interface PlannedServer extends ServerSlot {
  /** Empty while it is being started or cannot be reached. */
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
  const stop = chooseStops(surplus, staying, input);
  return { start: withinBounds(start, staying, input), stop };
}

/** Chooses surplus servers without which enough run, also after the loss of a domain. */
function chooseStops(
  surplus: ReadonlyArray<PlannedServer>,
  staying: ReadonlyArray<PlannedServer>,
  input: OrderPlanInput,
): ReadonlyArray<string> {
  const { neededServers, wanted } = input;
  const neededAfterLoss = Math.min(neededServers, countAfterLoss(wanted));
  let running = staying.filter((server) => server.address !== "");
  const stop: string[] = [];
  for (const { address } of surplus) {
    const left = running.filter((server) => server.address !== address);
    const afterLoss = countAfterLoss(left.map(toCount));
    if (left.length === running.length || left.length < neededServers) continue;
    if (afterLoss < neededAfterLoss) continue;
    running = left;
    stop.push(address);
  }
  return stop;
}

function toCount({ failureDomain, tier }: PlannedServer): ServerCount {
  return { failureDomain, tier, servers: 1 };
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
