import type { ServiceReceivedFact } from "../../generated/snipepath/v1/peer_pb.ts";
import type { HeldFact, ToldState } from "../membership/told_state.ts";
import type { Clock } from "../utilities/clock.ts";
import { decay } from "./decayed_counter.ts";
import {
  OrganisationUse,
  RECEIVED_HALF_LIFE_MILLISECONDS,
} from "./organisation_use.ts";
import type { ReceivedService } from "./policies/admission_policy.ts";

const DEMAND_FORGOTTEN_MILLISECONDS = 30_000;
const FORGOTTEN_MILLISECONDS = 120_000;

/** What an organisation asks for over all nodes. */
export interface OrganisationDemand {
  /** Requests a second through this node. */
  readonly here: number;
  /** Requests a second through each other node that told a demand. */
  readonly elsewhere: ReadonlyMap<string, number>;
  /** Tokens a second that are asked for here and received elsewhere. */
  readonly tokensPerSecond: number;
  /** Requests running or waiting, here and over all nodes. */
  readonly concurrentHere: number;
  readonly concurrentEverywhere: number;
}

type PeerFact = HeldFact<"serviceReceived">;

/** Keeps what organisations use of services: through this node as counted, through others as told. */
export class UseLedger {
  readonly #clock: Clock;
  readonly #node: string;
  readonly #own = new Map<string, OrganisationUse>();
  readonly #told = new Map<string, Map<string, PeerFact>>();

  /**
   * @param told - What other nodes tell.
   * @param options - Source of time, and this node's name.
   */
  constructor(
    told: ToldState,
    options: { readonly clock: Clock; readonly node: string },
  ) {
    this.#clock = options.clock;
    this.#node = options.node;
    told.watch("serviceReceived", (fact) => this.#hear(fact));
    for (const fact of told.facts("serviceReceived")) this.#hear(fact);
  }

  /** Returns this node's own figures of an organisation and a service. */
  use(service: string, organisation: string): OrganisationUse {
    const key = useKey(service, organisation);
    const known = this.#own.get(key);
    if (known !== undefined) return known;
    const use = new OrganisationUse();
    this.#own.set(key, use);
    return use;
  }

  /** Returns this node's own figures by key. */
  ownUses(): ReadonlyMap<string, OrganisationUse> {
    return this.#own;
  }

  /** Returns what an organisation received of a service. */
  received(service: string, organisation: string): ReceivedService {
    const now = this.#clock.monotonic();
    const key = useKey(service, organisation);
    const here = this.#own.get(key)?.received.value(now) ?? 0;
    let everywhere = here;
    for (const fact of this.#told.get(key)?.values() ?? []) {
      everywhere += decayedTokens(fact, now);
    }
    return { here, everywhere };
  }

  /** Returns what an organisation asks for, over all services. */
  demand(organisation: string): OrganisationDemand {
    const now = this.#clock.monotonic();
    const suffix = useKey("", organisation);
    const elsewhere = new Map<string, number>();
    let here = 0;
    let tokensPerSecond = 0;
    let concurrentHere = 0;
    let concurrentElsewhere = 0;
    for (const [key, use] of this.#own) {
      if (!key.endsWith(suffix)) continue;
      here += use.demand.perSecond(now);
      tokensPerSecond += use.tokenDemand.perSecond(now);
      concurrentHere += use.concurrent;
    }
    for (const [key, facts] of this.#told) {
      if (!key.endsWith(suffix)) continue;
      for (const { origin, value, heardAt } of facts.values()) {
        if (now - heardAt > DEMAND_FORGOTTEN_MILLISECONDS) continue;
        const rate = value.requestsPerSecondMillis / 1000;
        elsewhere.set(origin, (elsewhere.get(origin) ?? 0) + rate);
        concurrentElsewhere += value.concurrent;
        tokensPerSecond += receivedRate({ value, heardAt }, now);
      }
    }
    const concurrentEverywhere = concurrentHere + concurrentElsewhere;
    return {
      here,
      elsewhere,
      tokensPerSecond,
      concurrentHere,
      concurrentEverywhere,
    };
  }

  /** Returns how many nodes have requests of a service waiting; this one is counted by the caller. */
  hungryPeers(service: string): number {
    const now = this.#clock.monotonic();
    const hungry = new Set<string>();
    const prefix = `${service}/`;
    for (const [key, facts] of this.#told) {
      if (!key.startsWith(prefix)) continue;
      for (const { origin, value, heardAt } of facts.values()) {
        const isNew = now - heardAt <= DEMAND_FORGOTTEN_MILLISECONDS;
        if (isNew && value.waiting > 0) hungry.add(origin);
      }
    }
    return hungry.size;
  }

  /** Returns how many requests of an organisation other nodes have running or waiting at a service. */
  concurrentElsewhere(service: string, organisation: string): number {
    const now = this.#clock.monotonic();
    const facts = this.#told.get(useKey(service, organisation))?.values() ?? [];
    let concurrent = 0;
    for (const { value, heardAt } of facts) {
      const isNew = now - heardAt <= DEMAND_FORGOTTEN_MILLISECONDS;
      if (isNew) concurrent += value.concurrent;
    }
    return concurrent;
  }

  /** Returns what all organisations together received of a service, over all nodes. */
  receivedByAll(service: string): number {
    const now = this.#clock.monotonic();
    const prefix = `${service}/`;
    let total = 0;
    for (const [key, use] of this.#own) {
      if (key.startsWith(prefix)) total += use.received.value(now);
    }
    for (const [key, facts] of this.#told) {
      if (!key.startsWith(prefix)) continue;
      for (const fact of facts.values()) total += decayedTokens(fact, now);
    }
    return total;
  }

  /** Returns how many organisations have requests running or waiting at a service, over all nodes; at least 1. */
  activeOrganisations(service: string): number {
    const prefix = `${service}/`;
    const active = new Set<string>();
    for (const [key, use] of this.#own) {
      if (key.startsWith(prefix) && use.concurrent > 0) active.add(key);
    }
    for (const key of this.#told.keys()) {
      if (!key.startsWith(prefix) || active.has(key)) continue;
      const organisation = key.slice(prefix.length);
      if (this.concurrentElsewhere(service, organisation) > 0) active.add(key);
    }
    return Math.max(1, active.size);
  }

  /** Forgets figures that no longer matter. */
  prune(): void {
    const now = this.#clock.monotonic();
    for (const [key, use] of this.#own) {
      if (use.isIdle(now)) this.#own.delete(key);
    }
    for (const [key, facts] of this.#told) {
      for (const [origin, fact] of facts) {
        if (now - fact.heardAt > FORGOTTEN_MILLISECONDS) facts.delete(origin);
      }
      if (facts.size === 0) this.#told.delete(key);
    }
  }

  #hear(fact: PeerFact): void {
    if (fact.origin === this.#node) return;
    const facts = this.#told.get(fact.key) ?? new Map<string, PeerFact>();
    facts.set(fact.origin, fact);
    this.#told.set(fact.key, facts);
  }
}

/**
 * Returns the key under which an organisation's use of a service is told.
 * @param service - The service's name.
 * @param organisation - The organisation's name.
 * @example
 * ```ts
 * told.tell("serviceReceived", useKey("dot-models", "school"), fact);
 * ```
 */
export function useKey(service: string, organisation: string): string {
  return `${service}/${organisation}`;
}

/**
 * Returns what is left now of the tokens that a fact told.
 * @param fact - The fact's value with the time it was heard.
 * @param now - Monotonic time in milliseconds.
 * @example
 * ```ts
 * const left = decayedTokens(fact, clock.monotonic());
 * ```
 */
export function decayedTokens(
  fact: { readonly value: ServiceReceivedFact; readonly heardAt: number },
  now: number,
): number {
  const tokens = Number(fact.value.tokens);
  return decay(tokens, now - fact.heardAt, RECEIVED_HALF_LIFE_MILLISECONDS);
}

function receivedRate(
  fact: { readonly value: ServiceReceivedFact; readonly heardAt: number },
  now: number,
): number {
  const tokens = decayedTokens(fact, now);
  return tokens * Math.LN2 / RECEIVED_HALF_LIFE_MILLISECONDS * 1000;
}
