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

/** Age up to which a published fact counts as current demand. */
const DEMAND_LIFETIME_MILLISECONDS = 30_000;
/** Age at which a published fact is deleted; until then its received tokens count, decayed. */
const FACT_LIFETIME_MILLISECONDS = 120_000;

/** Demand of an organisation over all nodes. */
export interface OrganisationDemand {
  /** Requests per second through this node. */
  readonly localRequestsPerSecond: number;
  /** Requests per second through each other node that published a demand, by node name. */
  readonly peerRequestsPerSecond: ReadonlyMap<string, number>;
  /**
   * Tokens per second: those requested through this node plus those received through the other nodes,
   * which publish only received tokens.
   */
  readonly tokensPerSecond: number;
  /** Number of requests running or waiting at this node. */
  readonly localRequestCount: number;
  /** Number of requests running or waiting at all nodes. */
  readonly totalRequestCount: number;
}

/** A published fact about an organisation's use of a service. */
type PeerFact = HeldFact<"serviceReceived">;

/**
 * Published use with the monotonic time at which this node received or published it, in
 * milliseconds.
 */
export type TimedUse = Pick<PeerFact, "value" | "receivedAt">;

/** Records organisations' use of services: counted at this node, and published by the other nodes. */
export class UseLedger {
  readonly #clock: Clock;
  readonly #node: string;
  readonly #localUses = new Map<string, OrganisationUse>();
  /** Facts that the other nodes published, by `useKey` and then by node name. */
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

  /** Returns the use of a service by an organisation through this node; creates it when there is none. */
  getOrCreateUse(service: string, organisation: string): OrganisationUse {
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

  /**
   * Returns the exponentially decayed sum of the tokens of a service that an organisation received,
   * through this node and through all nodes; a call without tokens counts as one token.
   */
  receivedTokens(service: string, organisation: string): ReceivedService {
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
    const peerRequestsPerSecond = new Map<string, number>();
    let localRequestsPerSecond = 0;
    let tokensPerSecond = 0;
    let localRequestCount = 0;
    let peerRequestCount = 0;
    for (const [key, use] of this.#localUses) {
      if (!key.endsWith(suffix)) continue;
      localRequestsPerSecond += use.demand.perSecond(now);
      tokensPerSecond += use.tokenDemand.perSecond(now);
      localRequestCount += use.concurrent;
    }
    for (const [key, facts] of this.#peerUses) {
      if (!key.endsWith(suffix)) continue;
      for (const { origin, value, receivedAt } of facts.values()) {
        if (now - receivedAt > DEMAND_LIFETIME_MILLISECONDS) continue;
        const rate = value.requestsPerSecondMillis / 1000;
        peerRequestsPerSecond.set(
          origin,
          (peerRequestsPerSecond.get(origin) ?? 0) + rate,
        );
        peerRequestCount += value.concurrent;
        tokensPerSecond += receivedTokensPerSecond({ value, receivedAt }, now);
      }
    }
    const totalRequestCount = localRequestCount + peerRequestCount;
    return {
      localRequestsPerSecond,
      peerRequestsPerSecond,
      tokensPerSecond,
      localRequestCount,
      totalRequestCount,
    };
  }

  /** Returns how many other nodes have requests waiting for a slot of the service. */
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

  /** Returns how many of an organisation's requests to a service run or wait at other nodes. */
  countRequestsAtPeers(service: string, organisation: string): number {
    const now = this.#clock.monotonic();
    const facts = this.#peerUses.get(useKey(service, organisation))?.values() ??
      [];
    let requestCount = 0;
    for (const { value, receivedAt } of facts) {
      const isCurrent = now - receivedAt <= DEMAND_LIFETIME_MILLISECONDS;
      if (isCurrent) requestCount += value.concurrent;
    }
    return requestCount;
  }

  /**
   * Returns the exponentially decayed sum of the tokens of a service that all organisations received
   * through all nodes; a call without tokens counts as one token.
   */
  totalReceivedTokens(service: string): number {
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

  /** Returns how many organisations have requests to a service that run or wait at any node; at least 1. */
  countActiveOrganisations(service: string): number {
    const prefix = `${service}/`;
    const active = new Set<string>();
    for (const [key, use] of this.#localUses) {
      if (key.startsWith(prefix) && use.concurrent > 0) active.add(key);
    }
    for (const key of this.#peerUses.keys()) {
      if (!key.startsWith(prefix) || active.has(key)) continue;
      const organisation = key.slice(prefix.length);
      if (this.countRequestsAtPeers(service, organisation) > 0) active.add(key);
    }
    return Math.max(1, active.size);
  }

  /** Deletes the local uses of organisations that are idle, and expired facts. */
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
 * replicatedFacts.publish("serviceReceived", useKey("dot-models", "school"), fact);
 * ```
 */
export function useKey(service: string, organisation: string): string {
  return `${service}/${organisation}`;
}

/**
 * Returns the received tokens of a published fact, reduced by the decay since this node received
 * the fact.
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

function receivedTokensPerSecond(fact: TimedUse, now: number): number {
  const tokens = decayedTokens(fact, now);
  return tokens * Math.LN2 / RECEIVED_HALF_LIFE_MILLISECONDS * 1000;
}
