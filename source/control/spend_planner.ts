import type { Tier } from "../platform/orders_client.ts";

/** A failure domain and a tier in which servers can be ordered. */
export interface ServerSlot {
  readonly failureDomain: string;
  readonly tier: Tier;
}

/** A number of servers of one tier in one failure domain. */
export interface ServerCount extends ServerSlot {
  readonly servers: number;
}

/** Input of a spend policy. */
export interface SpendInput {
  readonly failureDomains: ReadonlyArray<string>;
  readonly minimumServers: number;
  readonly maximumServers: number;
  /** Number of servers that the forecast load needs to meet its latency targets. */
  readonly neededServers: number;
  /** Price of one server, in millionths of the currency unit per hour. */
  readonly microsPerHour: Readonly<Record<Tier, number>>;
  /** Maximum total cost of all servers, in millionths of the currency unit per hour; 0 for no maximum. */
  readonly boundMicrosPerHour: number;
  /** Returns whether servers of a tier are available in a failure domain, as far as is known. */
  readonly isAvailable: (slot: ServerSlot) => boolean;
}

/** The desired number of servers for each failure domain and tier. */
export interface SpendPlan {
  readonly wanted: ReadonlyArray<ServerCount>;
  /** Number of needed servers missing after the loss of one domain's cheap servers, because of bounds or availability. */
  readonly shortfall: number;
}

/** Computes the desired number of servers for each failure domain and tier. */
export type SpendPolicy = (input: SpendInput) => SpendPlan;

/** Name of a spend policy. */
export type SpendPolicyName = "allSteady" | "cheapFirst" | "domainLossBound";

/** Spend policy used when the setting names none. */
export const DEFAULT_SPEND_POLICY: SpendPolicyName = "domainLossBound";

/** All spend policies by name; the first two are baselines for comparison. */
export const SPEND_POLICIES: Readonly<Record<SpendPolicyName, SpendPolicy>> = {
  allSteady: planAllSteady,
  cheapFirst: planCheapFirst,
  domainLossBound: planDomainLossBound,
};

/**
 * Counts the servers that remain after the failure domain with the most cheap servers loses all of them.
 * @param wanted - Number of servers for each failure domain and tier.
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

/** Returns the total number of servers. */
export function countServers(wanted: ReadonlyArray<ServerCount>): number {
  return wanted.reduce((sum, { servers }) => sum + servers, 0);
}

/** Plans only steady servers, spread evenly over the failure domains. */
function planAllSteady(input: SpendInput): SpendPlan {
  const total = limitByCost(clampNeededServers(input), "steady", input);
  return toPlan(spreadEvenly(input.failureDomains, total, "steady"), input);
}

/** Plans only cheap servers, or only steady ones when no failure domain has cheap servers available. */
function planCheapFirst(input: SpendInput): SpendPlan {
  const domains = findAvailable("cheap", input);
  if (domains.length === 0) return planAllSteady(input);
  const total = limitByCost(clampNeededServers(input), "cheap", input);
  return toPlan(spreadEvenly(domains, total, "cheap"), input);
}

/**
 * Plans the cheapest mix that still meets the need after any one failure domain has lost all
 * its cheap servers.
 */
function planDomainLossBound(input: SpendInput): SpendPlan {
  for (let need = clampNeededServers(input); need > 0; need--) {
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
    const mix = buildMix(steady, need, input);
    if (mix === undefined || countServers(mix) > maximumServers) continue;
    const cost = sumCost(mix, microsPerHour);
    if (boundMicrosPerHour > 0 && cost > boundMicrosPerHour) continue;
    const isCheaper = cheapest === undefined ||
      cost < sumCost(cheapest, microsPerHour);
    if (isCheaper) cheapest = mix;
  }
  return cheapest;
}

function buildMix(
  steady: number,
  need: number,
  input: SpendInput,
): ReadonlyArray<ServerCount> | undefined {
  const domains = findAvailable("cheap", input);
  const cheap = countCheapServersFor(need - steady, domains.length);
  if (cheap === undefined) return undefined;
  const steadyDomains = findAvailable("steady", input);
  if (steady > 0 && steadyDomains.length === 0) return undefined;
  return [
    ...spreadEvenly(steadyDomains, steady, "steady"),
    ...spreadEvenly(domains, cheap, "cheap"),
  ];
}

/** Returns the number of cheap servers of which the given number remain after one domain loses its share. */
function countCheapServersFor(
  remaining: number,
  domains: number,
): number | undefined {
  if (remaining === 0) return 0;
  if (domains < 2) return undefined;
  let cheap = remaining;
  while (cheap - Math.ceil(cheap / domains) < remaining) cheap += 1;
  return cheap;
}

function findAvailable(tier: Tier, input: SpendInput): ReadonlyArray<string> {
  return input.failureDomains.filter((failureDomain) =>
    input.isAvailable({ failureDomain, tier })
  );
}

function spreadEvenly(
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

function clampNeededServers(input: SpendInput): number {
  const need = Math.max(input.neededServers, input.minimumServers);
  return Math.min(need, input.maximumServers);
}

function limitByCost(total: number, tier: Tier, input: SpendInput): number {
  const price = input.microsPerHour[tier];
  if (input.boundMicrosPerHour === 0 || price === 0) return total;
  return Math.min(total, Math.floor(input.boundMicrosPerHour / price));
}

function sumCost(
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
