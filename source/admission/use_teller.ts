import { create } from "@bufbuild/protobuf";
import {
  type ServiceReceivedFact,
  ServiceReceivedFactSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { ToldState } from "../membership/told_state.ts";
import type { OrganisationUse } from "./organisation_use.ts";
import { decayedTokens, type UseLedger } from "./use_ledger.ts";

const BYTES_PER_SECOND_INTO_A_NODE = 4000;
const BYTES_OF_A_FACT = 40;
const MAXIMUM_FACTS_PER_SECOND = 20;
const MINIMUM_CHANGE = 0.1;
const MAXIMUM_CREDIT = 20;
const REPEAT_MILLISECONDS = 15_000;

interface ToldUse {
  readonly value: ServiceReceivedFact;
  readonly heardAt: number;
}

interface Candidate {
  readonly key: string;
  readonly value: ServiceReceivedFact;
  readonly change: number;
}

/**
 * Tells the other nodes what organisations use through this node. What all nodes tell together is
 * kept to a number of bytes a second into each node; the figures that changed most go first.
 */
export class UseTeller {
  readonly #ledger: UseLedger;
  readonly #told: ToldState;
  readonly #last = new Map<string, ToldUse>();
  #credit = MAXIMUM_CREDIT;
  #at = 0;

  /**
   * @param ledger - What is used.
   * @param told - Where it is told.
   */
  constructor(ledger: UseLedger, told: ToldState) {
    this.#ledger = ledger;
    this.#told = told;
  }

  /**
   * Tells what is due.
   * @param now - Monotonic time in milliseconds.
   * @param liveNodes - Number of live nodes, this one included.
   */
  tell(now: number, liveNodes: number): void {
    this.#gainCredit(now, liveNodes);
    if (this.#credit < 1) return;
    const candidates = [...this.#ledger.ownUses()]
      .map(([key, use]) => this.#candidate(key, { use, now }))
      .filter(({ change }) => change >= MINIMUM_CHANGE)
      .sort((left, right) => right.change - left.change);
    for (const { key, value } of candidates) {
      if (this.#credit < 1) return;
      this.#credit -= 1;
      this.#last.set(key, { value, heardAt: now });
      this.#told.tell("serviceReceived", key, value);
    }
  }

  #gainCredit(now: number, liveNodes: number): void {
    const perSecond = Math.min(
      MAXIMUM_FACTS_PER_SECOND,
      BYTES_PER_SECOND_INTO_A_NODE / BYTES_OF_A_FACT / Math.max(1, liveNodes),
    );
    const gained = (now - this.#at) / 1000 * perSecond;
    this.#credit = Math.min(MAXIMUM_CREDIT, this.#credit + gained);
    this.#at = now;
  }

  #candidate(
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
    const last = this.#last.get(key);
    if (last === undefined) return isZero(value) ? 0 : 1;
    const hungerChanged = (last.value.waiting > 0) !== (value.waiting > 0);
    const changes = [
      relativeChange(Number(value.tokens), decayedTokens(last, now)),
      relativeChange(
        value.requestsPerSecondMillis,
        last.value.requestsPerSecondMillis,
      ),
      relativeChange(value.concurrent, last.value.concurrent),
      hungerChanged ? 1 : 0,
      !isZero(value) && now - last.heardAt > REPEAT_MILLISECONDS ? 1 : 0,
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
