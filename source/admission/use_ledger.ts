import type {
  HeldFact,
  ReplicatedFacts,
} from "../membership/replicated_facts.ts";
import type { Clock } from "../utilities/clock.ts";
import { decay } from "./decayed_counter.ts";
import {
  OrganisationUse,
  RECEIVED_HALF_LIFE_MILLISECONDS,
} from "./organisation_use.ts";
import type { ReceivedService } from "./policies/admission_policy.ts";

const DEMAND_LIFETIME_MILLISECONDS = 30_000;
const FACT_LIFETIME_MILLISECONDS = 120_000;

/** Demand of an organisation over all nodes. */
export interface OrganisationDemand {
  /** Requests per second through this node. */
  readonly localRate: number;
  /** Requests per second through each other node that published a demand, by node name. */
  readonly peerRates: ReadonlyMap<string, number>;
  /** Tokens per second requested through this node and received through the others. */
  readonly tokensPerSecond: number;
  /** Number of requests running or waiting at this node. */
  readonly localConcurrent: number;
  /** Number of requests running or waiting at all nodes. */
  readonly totalConcurrent: number;
}

type PeerFact = HeldFact<"serviceReceived">;

/** Published use with the time at which it was received. */
export type TimedUse = Pick<PeerFact, "value" | "receivedAt">;

/** Records organisations' use of services: counted at this node, and published by the other nodes. */
export class UseLedger {
  readonly #clock: Clock;
  readonly #node: string;
  readonly #localUses = new Map<string, OrganisationUse>();
  readonly #peerUses = new Map<string, Map<string, PeerFact>>();

  /**
   * @param replicatedFacts - Facts that the other nodes publish.
   * @param options - Clock and name of this node.
   */
  constructor(
    replicatedFacts: ReplicatedFacts,
    options: { readonly clock: Clock; readonly node: string },
  ) {
    this.#clock = options.clock;
    this.#node = options.node;
    replicatedFacts.watch("serviceReceived", (fact) => this.#apply(fact));
    for (const fact of replicatedFacts.facts("serviceReceived")) {
      this.#apply(fact);
    }
  }

  /** Returns the use of a service by an organisation through this node. */
  use(service: string, organisation: string): OrganisationUse {
    const key = useKey(service, organisation);
    const existing = this.#localUses.get(key);
    if (existing !== undefined) return existing;
    const use = new OrganisationUse();
    this.#localUses.set(key, use);
    return use;
  }

  /** Returns all use through this node, by `useKey`. */
  localUses(): ReadonlyMap<string, OrganisationUse> {
    return this.#localUses;
  }

  /** Returns how much of a service an organisation received. */
  received(service: string, organisation: string): ReceivedService {
    const now = this.#clock.monotonic();
    const key = useKey(service, organisation);
    const local = this.#localUses.get(key)?.received.value(now) ?? 0;
    let total = local;
    for (const fact of this.#peerUses.get(key)?.values() ?? []) {
      total += decayedTokens(fact, now);
    }
    return { local, total };
  }

  /** Returns the demand of an organisation over all services. */
  demand(organisation: string): OrganisationDemand {
    const now = this.#clock.monotonic();
    const suffix = useKey("", organisation);
    const peerRates = new Map<string, number>();
    let localRate = 0;
    let tokensPerSecond = 0;
    let localConcurrent = 0;
    let peerConcurrent = 0;
    for (const [key, use] of this.#localUses) {
      if (!key.endsWith(suffix)) continue;
      localRate += use.demand.perSecond(now);
      tokensPerSecond += use.tokenDemand.perSecond(now);
      localConcurrent += use.concurrent;
    }
    for (const [key, facts] of this.#peerUses) {
      if (!key.endsWith(suffix)) continue;
      for (const { origin, value, receivedAt } of facts.values()) {
        if (now - receivedAt > DEMAND_LIFETIME_MILLISECONDS) continue;
        const rate = value.requestsPerSecondMillis / 1000;
        peerRates.set(origin, (peerRates.get(origin) ?? 0) + rate);
        peerConcurrent += value.concurrent;
        tokensPerSecond += receivedRate({ value, receivedAt }, now);
      }
    }
    const totalConcurrent = localConcurrent + peerConcurrent;
    return {
      localRate,
      peerRates,
      tokensPerSecond,
      localConcurrent,
      totalConcurrent,
    };
  }

  /** Returns how many other nodes have waiting requests of a service. */
  countPeersWithWaiting(service: string): number {
    const now = this.#clock.monotonic();
    const peers = new Set<string>();
    const prefix = `${service}/`;
    for (const [key, facts] of this.#peerUses) {
      if (!key.startsWith(prefix)) continue;
      for (const { origin, value, receivedAt } of facts.values()) {
        const isCurrent = now - receivedAt <= DEMAND_LIFETIME_MILLISECONDS;
        if (isCurrent && value.waiting > 0) peers.add(origin);
      }
    }
    return peers.size;
  }

  /** Returns how many requests of an organisation run or wait for a service at other nodes. */
  concurrentAtPeers(service: string, organisation: string): number {
    const now = this.#clock.monotonic();
    const facts = this.#peerUses.get(useKey(service, organisation))?.values() ??
      [];
    let concurrent = 0;
    for (const { value, receivedAt } of facts) {
      const isCurrent = now - receivedAt <= DEMAND_LIFETIME_MILLISECONDS;
      if (isCurrent) concurrent += value.concurrent;
    }
    return concurrent;
  }

  /** Returns how much of a service all organisations together received over all nodes. */
  totalReceived(service: string): number {
    const now = this.#clock.monotonic();
    const prefix = `${service}/`;
    let total = 0;
    for (const [key, use] of this.#localUses) {
      if (key.startsWith(prefix)) total += use.received.value(now);
    }
    for (const [key, facts] of this.#peerUses) {
      if (!key.startsWith(prefix)) continue;
      for (const fact of facts.values()) total += decayedTokens(fact, now);
    }
    return total;
  }

  /** Returns how many organisations have requests running or waiting for a service over all nodes; at least 1. */
  countActiveOrganisations(service: string): number {
    const prefix = `${service}/`;
    const active = new Set<string>();
    for (const [key, use] of this.#localUses) {
      if (key.startsWith(prefix) && use.concurrent > 0) active.add(key);
    }
    for (const key of this.#peerUses.keys()) {
      if (!key.startsWith(prefix) || active.has(key)) continue;
      const organisation = key.slice(prefix.length);
      if (this.concurrentAtPeers(service, organisation) > 0) active.add(key);
    }
    return Math.max(1, active.size);
  }

  /** Deletes idle use and expired facts. */
  prune(): void {
    const now = this.#clock.monotonic();
    for (const [key, use] of this.#localUses) {
      if (use.isIdle(now)) this.#localUses.delete(key);
    }
    for (const [key, facts] of this.#peerUses) {
      for (const [origin, fact] of facts) {
        if (now - fact.receivedAt > FACT_LIFETIME_MILLISECONDS) {
          facts.delete(origin);
        }
      }
      if (facts.size === 0) this.#peerUses.delete(key);
    }
  }

  #apply(fact: PeerFact): void {
    if (fact.origin === this.#node) return;
    const facts = this.#peerUses.get(fact.key) ?? new Map<string, PeerFact>();
    facts.set(fact.origin, fact);
    this.#peerUses.set(fact.key, facts);
  }
}

/**
 * Returns the key under which an organisation's use of a service is published.
 * @param service - The service's name.
 * @param organisation - The organisation's name.
 * @example
 * ```ts
 * replicatedFacts.tell("serviceReceived", useKey("dot-models", "school"), fact);
 * ```
 */
export function useKey(service: string, organisation: string): string {
  return `${service}/${organisation}`;
}

/**
 * Returns the tokens of a published fact, decayed since it was received.
 * @param fact - Value of the fact, and the monotonic time at which it was received, in milliseconds.
 * @param now - Monotonic time in milliseconds.
 * @example
 * ```ts
 * const tokens = decayedTokens(fact, clock.monotonic());
 * ```
 */
export function decayedTokens(fact: TimedUse, now: number): number {
  const tokens = Number(fact.value.tokens);
  return decay(tokens, now - fact.receivedAt, RECEIVED_HALF_LIFE_MILLISECONDS);
}

function receivedRate(fact: TimedUse, now: number): number {
  const tokens = decayedTokens(fact, now);
  return tokens * Math.LN2 / RECEIVED_HALF_LIFE_MILLISECONDS * 1000;
}
