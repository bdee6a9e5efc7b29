import type { Fact } from "../../generated/snipepath/v1/peer_pb.ts";
import { FACT_RULES, joinValues } from "./fact_rules.ts";
import type { FactKind } from "./told_state.ts";

/** A fact of an origin as a node keeps it. */
export interface LoggedFact {
  readonly fact: Fact;
  /** Monotonic time at which it arrived, in milliseconds. */
  readonly heardAt: number;
}

/** Returns the identity of an origin's process. */
export function originIdentity(origin: string, start: string): string {
  return `${origin}\n${start}`;
}

/**
 * The facts of one process of one node. `through` is the version up to which all facts in force are held,
 * so that a peer needs to send only later ones.
 */
export class OriginLog {
  readonly origin: string;
  readonly start: string;
  readonly identity: string;
  /** Monotonic time at which the log last grew, in milliseconds. */
  heardAt: number;
  /** Whether the origin has told nothing for too long. */
  isDead = false;
  #through = 0;
  readonly #facts = new Map<string, LoggedFact>();

  /**
   * @param origin - Name of the node.
   * @param start - Identity of its process.
   * @param heardAt - Monotonic time of the first word, in milliseconds.
   */
  constructor(origin: string, start: string, heardAt: number) {
    this.origin = origin;
    this.start = start;
    this.identity = originIdentity(origin, start);
    this.heardAt = heardAt;
  }

  /** Version up to which nothing is missing. */
  get through(): number {
    return this.#through;
  }

  /** Number of facts held. */
  get size(): number {
    return this.#facts.size;
  }

  /** Returns the facts held. */
  facts(): Iterable<LoggedFact> {
    return this.#facts.values();
  }

  /** Returns the fact of a kind and key. */
  get(kind: FactKind, key: string): LoggedFact | undefined {
    return this.#facts.get(slotOf(kind, key));
  }

  /** Returns the facts with versions after one. */
  factsAfter(version: number): ReadonlyArray<Fact> {
    const later: Fact[] = [];
    for (const { fact } of this.#facts.values()) {
      if (Number(fact.version) > version) later.push(fact);
    }
    return later;
  }

  /**
   * Takes a fact over unless a later version is held.
   * @returns The fact as held now, or undefined when nothing changed.
   */
  put(fact: Fact, heardAt: number): LoggedFact | undefined {
    const kind = kindOf(fact);
    if (kind === undefined) return undefined;
    const slot = slotOf(kind, fact.key);
    const held = this.#facts.get(slot);
    const merged = held === undefined ? fact : mergeFacts(held.fact, fact);
    if (merged === held?.fact) return undefined;
    const logged = { fact: merged, heardAt };
    this.#facts.delete(slot);
    this.#facts.set(slot, logged);
    return logged;
  }

  /** Notes that nothing is missing up to a version. */
  completeThrough(version: number, heardAt: number): void {
    if (version <= this.#through) return;
    this.#through = version;
    this.heardAt = Math.max(this.heardAt, heardAt);
  }

  /** Drops the facts that end with the origin; returns them. */
  expire(): ReadonlyArray<LoggedFact> {
    this.isDead = true;
    const dropped: LoggedFact[] = [];
    for (const [slot, logged] of this.#facts) {
      const kind = kindOf(logged.fact);
      if (kind !== undefined && FACT_RULES[kind].scope === "originKept") {
        continue;
      }
      this.#facts.delete(slot);
      dropped.push(logged);
    }
    return dropped;
  }

  /** Takes the log into use again after the origin told something new. */
  revive(): void {
    this.isDead = false;
    this.#through = 0;
  }

  /** Drops retractions that arrived before a time. */
  dropRetractions(before: number): void {
    for (const [slot, { fact, heardAt }] of this.#facts) {
      if (fact.value.case === "retraction" && heardAt < before) {
        this.#facts.delete(slot);
      }
    }
  }
}

/** Returns the kind that a fact speaks about, also when it retracts one. */
export function kindOf(fact: Fact): FactKind | undefined {
  const value = fact.value;
  if (value.case === undefined) return undefined;
  if (value.case !== "retraction") return value.case;
  return isKind(value.value.kind) ? value.value.kind : undefined;
}

function isKind(name: string): name is FactKind {
  return Object.hasOwn(FACT_RULES, name);
}

function slotOf(kind: FactKind, key: string): string {
  return `${kind}\n${key}`;
}

function mergeFacts(held: Fact, arrived: Fact): Fact {
  const isLater = arrived.version > held.version;
  const [earlier, later] = isLater ? [held, arrived] : [arrived, held];
  const value = joinValues(earlier.value, later.value);
  if (value === held.value && !isLater) return held;
  if (value === later.value) return later;
  return { ...later, value };
}
