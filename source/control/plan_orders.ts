import type { Tier } from "../platform/orders_client.ts";
import {
  countServersAfterDomainLoss,
  type ServerCount,
  type ServerPlacement,
} from "./spend_planner.ts";

/** A server that is running or starting. */
export interface PlannedServer extends ServerPlacement {
  /** Address of the server; empty while it is starting or unreachable. */
  readonly address: string;
  readonly leaving: boolean;
}

/** Input of the order plan. */
export interface OrderPlanInput {
  readonly wanted: ReadonlyArray<ServerCount>;
  readonly servers: ReadonlyArray<PlannedServer>;
  /** Number of servers that must keep running, so that old servers stop only after their replacements run. */
  readonly neededServers: number;
  /** Maximum number of servers at any time, including starting ones. */
  readonly maximumServers: number;
  readonly microsPerHour: Readonly<Record<Tier, number>>;
  /** Maximum total cost of all servers, in millionths of the currency unit per hour; 0 for no maximum. */
  readonly boundMicrosPerHour: number;
}

/** Orders that change the present servers into the desired ones. */
export interface OrderPlan {
  readonly start: ReadonlyArray<ServerPlacement>;
  /** Addresses of the servers to stop. */
  readonly stop: ReadonlyArray<string>;
}

const TIERS: ReadonlyArray<Tier> = ["steady", "cheap"];

/**
 * Plans the orders that change the present servers into the desired ones. A surplus server is
 * stopped only when enough servers keep running without it, and no server is started beyond
 * the bounds on number and cost.
 * @param input - Desired and present servers, and the bounds.
 * @example
 * ```ts
 * const { start, stop } = planOrders({ ...bounds, wanted: plan.wanted, servers });
 * ```
 */
export function planOrders(input: OrderPlanInput): OrderPlan {
  const retained = input.servers.filter((server) => !server.leaving);
  const start: ServerPlacement[] = [];
  const surplus: PlannedServer[] = [];
  for (const placement of findPlacements(input)) {
    const present = retained.filter((server) =>
      isInPlacement(server, placement)
    );
    const wanted = input.wanted.find((count) =>
      isInPlacement(count, placement)
    )?.servers ??
      0;
    const missing = Math.max(0, wanted - present.length);
    start.push(...Array<ServerPlacement>(missing).fill(placement));
    const reachableFirst = [...present].sort((left, right) =>
      left.address < right.address ? 1 : -1
    );
    surplus.push(
      ...reachableFirst.slice(0, Math.max(0, present.length - wanted)),
    );
  }
  const stop = chooseStops(surplus, retained, input);
  return { start: limitStarts(start, retained, input), stop };
}

/** Chooses surplus servers to stop such that enough servers keep running, even after the loss of a domain's cheap servers. */
function chooseStops(
  surplus: ReadonlyArray<PlannedServer>,
  retained: ReadonlyArray<PlannedServer>,
  input: OrderPlanInput,
): ReadonlyArray<string> {
  const { neededServers, wanted } = input;
  const neededAfterLoss = Math.min(
    neededServers,
    countServersAfterDomainLoss(wanted),
  );
  let running = retained.filter((server) => server.address !== "");
  const stop: string[] = [];
  for (const { address } of surplus) {
    const others = running.filter((server) => server.address !== address);
    const afterLoss = countServersAfterDomainLoss(others.map(toCount));
    if (others.length === running.length || others.length < neededServers) {
      continue;
    }
    if (afterLoss < neededAfterLoss) continue;
    running = others;
    stop.push(address);
  }
  return stop;
}

function toCount({ failureDomain, tier }: PlannedServer): ServerCount {
  return { failureDomain, tier, servers: 1 };
}

function limitStarts(
  start: ReadonlyArray<ServerPlacement>,
  retained: ReadonlyArray<PlannedServer>,
  input: OrderPlanInput,
): ReadonlyArray<ServerPlacement> {
  const { maximumServers, microsPerHour, boundMicrosPerHour } = input;
  let servers = retained.length;
  let cost = retained.reduce((sum, { tier }) => sum + microsPerHour[tier], 0);
  return start.filter(({ tier }) => {
    const exceedsMaximumServers = servers + 1 > maximumServers;
    const exceedsCostBound = boundMicrosPerHour > 0 &&
      cost + microsPerHour[tier] > boundMicrosPerHour;
    if (exceedsMaximumServers || exceedsCostBound) return false;
    servers += 1;
    cost += microsPerHour[tier];
    return true;
  });
}

function findPlacements(input: OrderPlanInput): ReadonlyArray<ServerPlacement> {
  const domains = new Set(
    [...input.wanted, ...input.servers].map((entry) => entry.failureDomain),
  );
  return [...domains].sort().flatMap((failureDomain) =>
    TIERS.map((tier) => ({ failureDomain, tier }))
  );
}

function isInPlacement(
  entry: ServerPlacement,
  placement: ServerPlacement,
): boolean {
  return entry.failureDomain === placement.failureDomain &&
    entry.tier === placement.tier;
}
