import type { Tier } from "../platform/orders_client.ts";

/** A failure domain and a tier in which servers can be ordered. */
export interface ServerPlacement {
  readonly failureDomain: string;
  readonly tier: Tier;
}

/** A number of servers of one tier in one failure domain. */
export interface ServerCount extends ServerPlacement {
  readonly servers: number;
}

/** Input of a spend policy. */
export interface SpendInput {
  readonly failureDomains: ReadonlyArray<string>;
  readonly minimumServers: number;
  readonly maximumServers: number;
  /** Number of servers whose slots suffice for the forecast load. */
  readonly neededServers: number;
  /** Price of one server, in millionths of the currency unit per hour. */
  readonly microsPerHour: Readonly<Record<Tier, number>>;
  /** Maximum total cost of all servers, in millionths of the currency unit per hour; 0 for no maximum. */
  readonly boundMicrosPerHour: number;
  /** Returns false for a tier in a failure domain where a start order was refused recently. */
  readonly isAvailable: (placement: ServerPlacement) => boolean;
}

/** The desired number of servers for each failure domain and tier. */
export interface SpendPlan {
  readonly wanted: ReadonlyArray<ServerCount>;
  /**
   * Number of needed servers that would be missing if the failure domain with the most cheap servers
   * lost all of them; above 0 when the bounds, the availability or the policy rule out enough
   * servers.
   */
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
 * countServersAfterDomainLoss([{ failureDomain: "cluj-a", tier: "cheap", servers: 3 }]); // 0
 * ```
 */
export function countServersAfterDomainLoss(
  wanted: ReadonlyArray<ServerCount>,
): number {
  const cheapServersByDomain = new Map<string, number>();
  for (const { failureDomain, tier, servers } of wanted) {
    if (tier !== "cheap") continue;
    cheapServersByDomain.set(
      failureDomain,
      (cheapServersByDomain.get(failureDomain) ?? 0) + servers,
    );
  }
  return countServers(wanted) - Math.max(0, ...cheapServersByDomain.values());
}

/** Returns the total number of servers. */
export function countServers(wanted: ReadonlyArray<ServerCount>): number {
  return wanted.reduce((sum, { servers }) => sum + servers, 0);
}

/** Plans only steady servers, spread evenly over the failure domains. */
function planAllSteady(input: SpendInput): SpendPlan {
  const serverCount = limitByCost(clampNeededServers(input), "steady", input);
  return toPlan(
    spreadEvenly(input.failureDomains, serverCount, "steady"),
    input,
  );
}

/** Plans only cheap servers, or only steady ones when no failure domain has cheap servers available. */
function planCheapFirst(input: SpendInput): SpendPlan {
  const domains = findAvailable("cheap", input);
  if (domains.length === 0) return planAllSteady(input);
  const serverCount = limitByCost(clampNeededServers(input), "cheap", input);
  return toPlan(spreadEvenly(domains, serverCount, "cheap"), input);
}

/**
 * Plans the cheapest mix that still meets the need after any one failure domain has lost all
 * its cheap servers. When no mix fits the bounds, plans for the largest smaller need that fits.
 */
function planDomainLossBound(input: SpendInput): SpendPlan {
  for (
    let neededServers = clampNeededServers(input);
    neededServers > 0;
    neededServers--
  ) {
    const mix = findCheapestMix(neededServers, input);
    if (mix !== undefined) return toPlan(mix, input);
  }
  return toPlan([], input);
}

function findCheapestMix(
  neededServers: number,
  input: SpendInput,
): ReadonlyArray<ServerCount> | undefined {
  const { maximumServers, boundMicrosPerHour, microsPerHour } = input;
  let cheapest: ReadonlyArray<ServerCount> | undefined;
  for (let steadyServers = 0; steadyServers <= neededServers; steadyServers++) {
    const mix = buildMix(steadyServers, neededServers, input);
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
  steadyServers: number,
  neededServers: number,
  input: SpendInput,
): ReadonlyArray<ServerCount> | undefined {
  const cheapDomains = findAvailable("cheap", input);
  const cheapServers = countCheapServersFor(
    neededServers - steadyServers,
    cheapDomains.length,
  );
  if (cheapServers === undefined) return undefined;
  const steadyDomains = findAvailable("steady", input);
  if (steadyServers > 0 && steadyDomains.length === 0) return undefined;
  return [
    ...spreadEvenly(steadyDomains, steadyServers, "steady"),
    ...spreadEvenly(cheapDomains, cheapServers, "cheap"),
  ];
}

/**
 * Returns the smallest number of cheap servers, spread evenly, of which `remainingServers` are left
 * after any one domain loses its own; undefined with fewer than two domains.
 */
function countCheapServersFor(
  remainingServers: number,
  domainCount: number,
): number | undefined {
  if (remainingServers === 0) return 0;
  if (domainCount < 2) return undefined;
  let cheapServers = remainingServers;
  while (
    cheapServers - Math.ceil(cheapServers / domainCount) < remainingServers
  ) cheapServers += 1;
  return cheapServers;
}

function findAvailable(tier: Tier, input: SpendInput): ReadonlyArray<string> {
  return input.failureDomains.filter((failureDomain) =>
    input.isAvailable({ failureDomain, tier })
  );
}

function spreadEvenly(
  domains: ReadonlyArray<string>,
  serverCount: number,
  tier: Tier,
): ReadonlyArray<ServerCount> {
  return domains.map((failureDomain, index) => ({
    failureDomain,
    tier,
    servers: Math.floor(serverCount / domains.length) +
      (index < serverCount % domains.length ? 1 : 0),
  })).filter(({ servers }) => servers > 0);
}

function clampNeededServers(input: SpendInput): number {
  const neededServers = Math.max(input.neededServers, input.minimumServers);
  return Math.min(neededServers, input.maximumServers);
}

function limitByCost(
  serverCount: number,
  tier: Tier,
  input: SpendInput,
): number {
  const price = input.microsPerHour[tier];
  if (input.boundMicrosPerHour === 0 || price === 0) return serverCount;
  return Math.min(serverCount, Math.floor(input.boundMicrosPerHour / price));
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
  const shortfall = input.neededServers - countServersAfterDomainLoss(wanted);
  return { wanted, shortfall: Math.max(0, shortfall) };
}
