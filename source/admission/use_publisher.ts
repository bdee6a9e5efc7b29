import { create } from "@bufbuild/protobuf";
import {
  type ServiceReceivedFact,
  ServiceReceivedFactSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { ReplicatedFacts } from "../membership/replicated_facts.ts";
import type { OrganisationUse } from "./organisation_use.ts";
import { decayedTokens, type TimedUse, type UseLedger } from "./use_ledger.ts";

/** Upper limit of the bytes per second that each node receives from all nodes together. */
const INCOMING_BYTES_PER_SECOND = 4000;
const BYTES_PER_FACT = 40;
const MAXIMUM_FACTS_PER_SECOND = 20;
const MINIMUM_RELATIVE_CHANGE = 0.1;
const MAXIMUM_CREDIT_FACTS = 20;
const REPUBLISH_MILLISECONDS = 15_000;

interface Candidate {
  readonly key: string;
  readonly value: ServiceReceivedFact;
  /** Largest relative change of a figure since the last publication, from 0 to 1. */
  readonly change: number;
}

/**
 * Publishes organisations' use through this node to the other nodes. The rate of facts keeps the bytes
 * that each node receives from all others below a bound; the figures that changed most go first.
 */
export class UsePublisher {
  readonly #ledger: UseLedger;
  readonly #replicatedFacts: ReplicatedFacts;
  /** Last published use, by `useKey`. */
  readonly #published = new Map<string, TimedUse>();
  /** Number of facts that may be published now. */
  #credit = MAXIMUM_CREDIT_FACTS;
  /** Monotonic time in milliseconds. */
  #replenishedAt = 0;

  /**
   * @param ledger - Use of organisations through this node.
   * @param replicatedFacts - Publishes facts to the other nodes.
   */
  constructor(ledger: UseLedger, replicatedFacts: ReplicatedFacts) {
    this.#ledger = ledger;
    this.#replicatedFacts = replicatedFacts;
  }

  /**
   * Publishes the use that changed by at least 10% in a figure or between some and no waiting
   * requests, and use above 0 that was last published more than 15 s ago, as far as the rate
   * allows.
   * @param now - Monotonic time in milliseconds.
   * @param liveNodes - Number of live nodes, this one included.
   */
  publish(now: number, liveNodes: number): void {
    this.#replenishCredit(now, liveNodes);
    if (this.#credit < 1) return;
    const candidates = [...this.#ledger.localUses()]
      .map(([key, use]) => this.#createCandidate(key, { use, now }))
      .filter(({ change }) => change >= MINIMUM_RELATIVE_CHANGE)
      .sort((left, right) => right.change - left.change);
    for (const { key, value } of candidates) {
      if (this.#credit < 1) return;
      this.#credit -= 1;
      this.#published.set(key, { value, receivedAt: now });
      this.#replicatedFacts.publish("serviceReceived", key, value);
    }
  }

  #replenishCredit(now: number, liveNodes: number): void {
    const perSecond = Math.min(
      MAXIMUM_FACTS_PER_SECOND,
      INCOMING_BYTES_PER_SECOND / BYTES_PER_FACT / Math.max(1, liveNodes),
    );
    const gained = (now - this.#replenishedAt) / 1000 * perSecond;
    this.#credit = Math.min(MAXIMUM_CREDIT_FACTS, this.#credit + gained);
    this.#replenishedAt = now;
  }

  #createCandidate(
    key: string,
    options: { readonly use: OrganisationUse; readonly now: number },
  ): Candidate {
    const { use, now } = options;
    const value = create(ServiceReceivedFactSchema, {
      tokens: BigInt(Math.round(use.received.value(now))),
      requestsPerSecondMillis: Math.round(use.demand.perSecond(now) * 1000),
      concurrent: use.concurrent,
      waiting: use.waiting,
    });
    return { key, value, change: this.#change(key, value, now) };
  }

  #change(key: string, value: ServiceReceivedFact, now: number): number {
    const published = this.#published.get(key);
    if (published === undefined) return isZero(value) ? 0 : 1;
    const waitingChanged =
      (published.value.waiting > 0) !== (value.waiting > 0);
    const changes = [
      relativeChange(Number(value.tokens), decayedTokens(published, now)),
      relativeChange(
        value.requestsPerSecondMillis,
        published.value.requestsPerSecondMillis,
      ),
      relativeChange(value.concurrent, published.value.concurrent),
      waitingChanged ? 1 : 0,
      !isZero(value) && now - published.receivedAt > REPUBLISH_MILLISECONDS
        ? 1
        : 0,
    ];
    return Math.max(...changes);
  }
}

function relativeChange(left: number, right: number): number {
  return Math.abs(left - right) / Math.max(1, left, right);
}

function isZero(value: ServiceReceivedFact): boolean {
  return value.tokens === 0n && value.concurrent === 0 &&
    value.requestsPerSecondMillis === 0;
}
