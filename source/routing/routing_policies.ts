import { ExpectedFinish } from "./expected_finish.ts";
import { LeastOutstanding } from "./least_outstanding.ts";
import { Rendezvous } from "./rendezvous.ts";
import { RoundRobin } from "./round_robin.ts";
import type { RoutingPolicy, RoutingPolicyName } from "./routing_policy.ts";

const ROUTING_POLICIES: Readonly<
  Record<RoutingPolicyName, () => RoutingPolicy>
> = {
  expectedFinish: () => new ExpectedFinish(),
  leastOutstanding: () => new LeastOutstanding(),
  rendezvous: () => new Rendezvous(),
  roundRobin: () => new RoundRobin(),
};

/**
 * Creates a routing policy.
 * @param name - Name of the policy.
 * @example
 * ```ts
 * const policy = createRoutingPolicy("roundRobin");
 * ```
 */
export function createRoutingPolicy(name: RoutingPolicyName): RoutingPolicy {
  return ROUTING_POLICIES[name]();
}

/**
 * Returns whether a text names a routing policy.
 * @param name - Text to check.
 * @example
 * ```ts
 * isRoutingPolicyName("roundRobin"); // true
 * ```
 */
export function isRoutingPolicyName(name: string): name is RoutingPolicyName {
  return Object.hasOwn(ROUTING_POLICIES, name);
}
