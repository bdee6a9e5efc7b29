import type { Tier } from "../platform/orders_client.ts";

/** Where servers can be ordered. */
export interface ServerSlot {
  readonly failureDomain: string;
  readonly tier: Tier;
}

/** A number of servers of one tier in one failure domain. */
export interface ServerCount extends ServerSlot {
  readonly servers: number;
}

/** What a plan is made from. */
export interface SpendInput {
  readonly failureDomains: ReadonlyArray<string>;
  readonly minimumServers: number;
  readonly maximumServers: number;
  /** Servers that the forecast load needs for its targets. */
  readonly neededServers: number;
  /** Millionths of the currency unit in an hour, for one server. */
  readonly microsPerHour: Readonly<Record<Tier, number>>;
  /** Highest cost of all servers together; 0 for none. */
  readonly boundMicrosPerHour: number;
  /** Whether a tier can be had in a failure domain, as far as is known. */
  readonly isAvailable: (slot: ServerSlot) => boolean;
}

/** How many servers of which tier are wanted where. */
export interface SpendPlan {
  readonly wanted: ReadonlyArray<ServerCount>;
  /** Needed servers that the bounds or the market leave out after the loss of a domain's cheap servers. */
  readonly shortfall: number;
}

/** Decides how many servers of which tier are wanted where. */
export type SpendPolicy = (input: SpendInput) => SpendPlan;

/** Name of a policy. */
export type SpendPolicyName = "allSteady" | "cheapFirst" | "domainLossBound";

/** Policy when none is set. */
export const DEFAULT_SPEND_POLICY: SpendPolicyName = "domainLossBound";

/** All policies; the first two are baselines. */
export const SPEND_POLICIES: Readonly<Record<SpendPolicyName, SpendPolicy>> = {
  allSteady: planAllSteady,
  cheapFirst: planCheapFirst,
  domainLossBound: planDomainLossBound,
};

/**
 * Counts the servers left when the failure domain with the most cheap servers loses them.
 * @param wanted - Servers by tier and failure domain.
 * @example
 * ```ts
 * countAfterLoss([{ failureDomain: "cluj-a", tier: "cheap", servers: 3 }]); // 0
 * ```
 */
export function countAfterLoss(wanted: ReadonlyArray<ServerCount>): number {
  const cheap = new Map<string, number>();
  for (const { failureDomain, tier, servers } of wanted) {
    if (tier !== "cheap") continue;
    cheap.set(failureDomain, (cheap.get(failureDomain) ?? 0) + servers);
  }
  return countServers(wanted) - Math.max(0, ...cheap.values());
}

/** Returns the sum of the servers. */
export function countServers(wanted: ReadonlyArray<ServerCount>): number {
  return wanted.reduce((sum, { servers }) => sum + servers, 0);
}

/** Only steady servers, spread evenly. */
function planAllSteady(input: SpendInput): SpendPlan {
  const total = withinCost(boundedNeed(input), "steady", input);
  return toPlan(spread(input.failureDomains, total, "steady"), input);
}

/** As many cheap servers as are needed, and steady ones only where no cheap one can be had. */
function planCheapFirst(input: SpendInput): SpendPlan {
  const domains = findAvailable("cheap", input);
  if (domains.length === 0) return planAllSteady(input);
  const total = withinCost(boundedNeed(input), "cheap", input);
  return toPlan(spread(domains, total, "cheap"), input);
}

/**
 * The cheapest mix that still meets the need after any one failure domain has lost all
 * its cheap servers.
 */
function planDomainLossBound(input: SpendInput): SpendPlan {
  for (let need = boundedNeed(input); need > 0; need--) {
    const mix = findCheapestMix(need, input);
    if (mix !== undefined) return toPlan(mix, input);
  }
  return toPlan([], input);
}

function findCheapestMix(
  need: number,
  input: SpendInput,
): ReadonlyArray<ServerCount> | undefined {
  const { maximumServers, boundMicrosPerHour, microsPerHour } = input;
  let cheapest: ReadonlyArray<ServerCount> | undefined;
  for (let steady = 0; steady <= need; steady++) {
    const mix = mixWith(steady, need, input);
    if (mix === undefined || countServers(mix) > maximumServers) continue;
    const cost = costOf(mix, microsPerHour);
    if (boundMicrosPerHour > 0 && cost > boundMicrosPerHour) continue;
    const isCheaper = cheapest === undefined ||
      cost < costOf(cheapest, microsPerHour);
    if (isCheaper) cheapest = mix;
  }
  return cheapest;
}

function mixWith(
  steady: number,
  need: number,
  input: SpendInput,
): ReadonlyArray<ServerCount> | undefined {
  const domains = findAvailable("cheap", input);
  const cheap = countCheapFor(need - steady, domains.length);
  if (cheap === undefined) return undefined;
  const steadyDomains = findAvailable("steady", input);
  if (steady > 0 && steadyDomains.length === 0) return undefined;
  return [
    ...spread(steadyDomains, steady, "steady"),
    ...spread(domains, cheap, "cheap"),
  ];
}

/** Returns how many cheap servers leave so many after the loss of one domain's. */
function countCheapFor(left: number, domains: number): number | undefined {
  if (left === 0) return 0;
  if (domains < 2) return undefined;
  let cheap = left;
  while (cheap - Math.ceil(cheap / domains) < left) cheap += 1;
  return cheap;
}

function findAvailable(tier: Tier, input: SpendInput): ReadonlyArray<string> {
  return input.failureDomains.filter((failureDomain) =>
    input.isAvailable({ failureDomain, tier })
  );
}

function spread(
  domains: ReadonlyArray<string>,
  total: number,
  tier: Tier,
): ReadonlyArray<ServerCount> {
  return domains.map((failureDomain, index) => ({
    failureDomain,
    tier,
    servers: Math.floor(total / domains.length) +
      (index < total % domains.length ? 1 : 0),
  })).filter(({ servers }) => servers > 0);
}

function boundedNeed(input: SpendInput): number {
  const need = Math.max(input.neededServers, input.minimumServers);
  return Math.min(need, input.maximumServers);
}

function withinCost(total: number, tier: Tier, input: SpendInput): number {
  const price = input.microsPerHour[tier];
  if (input.boundMicrosPerHour === 0 || price === 0) return total;
  return Math.min(total, Math.floor(input.boundMicrosPerHour / price));
}

function costOf(
  wanted: ReadonlyArray<ServerCount>,
  microsPerHour: Readonly<Record<Tier, number>>,
): number {
  return wanted.reduce(
    (sum, { tier, servers }) => sum + servers * microsPerHour[tier],
    0,
  );
}

function toPlan(
  wanted: ReadonlyArray<ServerCount>,
  input: SpendInput,
): SpendPlan {
  const shortfall = input.neededServers - countAfterLoss(wanted);
  return { wanted, shortfall: Math.max(0, shortfall) };
}
