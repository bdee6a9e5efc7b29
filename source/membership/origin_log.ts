import type { Fact } from "../../generated/snipepath/v1/peer_pb.ts";
import { FACT_RULES, mergeValues } from "./fact_rules.ts";
import type { FactKind } from "./replicated_facts.ts";

/** Fact in the log of an origin. */
export interface LoggedFact {
  readonly fact: Fact;
  /** Monotonic time at which this node received the fact, in milliseconds. */
  readonly receivedAt: number;
}

/** Returns the identity of one incarnation of an origin. */
export function originIdentity(origin: string, start: string): string {
  return `${origin}\n${start}`;
}

/**
 * Holds the facts of one incarnation of a node. `through` is the version up to which the log holds all facts in
 * force, so that a peer needs to send only facts with later versions.
 */
export class OriginLog {
  readonly origin: string;
  /** Start identity of the origin's process. */
  readonly start: string;
  readonly identity: string;
  /** Monotonic time at which the log last grew, in milliseconds. */
  grownAt: number;
  /**
   * Whether the origin has expired: its log has not grown for the expiry time, or a peer sent the
   * log as ended.
   */
  isExpired = false;
  #through = 0;
  readonly #facts = new Map<string, LoggedFact>();

  /**
   * @param origin - Name of the node.
   * @param start - Start identity of the node's process.
   * @param grownAt - Monotonic time at which the log first grew, in milliseconds.
   */
  constructor(origin: string, start: string, grownAt: number) {
    this.origin = origin;
    this.start = start;
    this.identity = originIdentity(origin, start);
    this.grownAt = grownAt;
  }

  /** Version up to which no fact in force is missing. */
  get through(): number {
    return this.#through;
  }

  /** Number of facts in the log. */
  get size(): number {
    return this.#facts.size;
  }

  /** Returns the facts in the log. */
  facts(): Iterable<LoggedFact> {
    return this.#facts.values();
  }

  /** Returns the fact of a kind and key. */
  get(kind: FactKind, key: string): LoggedFact | undefined {
    return this.#facts.get(joinKindAndKey(kind, key));
  }

  /** Returns the facts with versions later than a given one. */
  factsAfter(version: number): ReadonlyArray<Fact> {
    const later: Fact[] = [];
    for (const { fact } of this.#facts.values()) {
      if (Number(fact.version) > version) later.push(fact);
    }
    return later;
  }

  /**
   * Merges a fact into the log; a fact with an earlier version than the held one doesn't replace it.
   * @returns The fact that is held now, or undefined when nothing changed.
   */
  put(fact: Fact, receivedAt: number): LoggedFact | undefined {
    const kind = kindOf(fact);
    if (kind === undefined) return undefined;
    const kindAndKey = joinKindAndKey(kind, fact.key);
    const held = this.#facts.get(kindAndKey);
    const merged = held === undefined ? fact : mergeFacts(held.fact, fact);
    if (merged === held?.fact) return undefined;
    const logged = { fact: merged, receivedAt };
    this.#facts.delete(kindAndKey);
    this.#facts.set(kindAndKey, logged);
    return logged;
  }

  /** Records that no fact in force is missing up to a version. */
  completeThrough(version: number, grownAt: number): void {
    if (version <= this.#through) return;
    this.#through = version;
    this.grownAt = Math.max(this.grownAt, grownAt);
  }

  /** Marks the log as expired; removes and returns the facts that don't outlive their origin. */
  expire(): ReadonlyArray<LoggedFact> {
    this.isExpired = true;
    const removed: LoggedFact[] = [];
    for (const [kindAndKey, logged] of this.#facts) {
      const kind = kindOf(logged.fact);
      if (kind !== undefined && FACT_RULES[kind].scope === "originKept") {
        continue;
      }
      this.#facts.delete(kindAndKey);
      removed.push(logged);
    }
    return removed;
  }

  /** Reactivates an expired log whose origin has published a new version. */
  reactivate(): void {
    this.isExpired = false;
    this.#through = 0;
  }

  /** Removes the retractions received before a monotonic time, in milliseconds. */
  removeRetractions(before: number): void {
    for (const [kindAndKey, { fact, receivedAt }] of this.#facts) {
      if (fact.value.case === "retraction" && receivedAt < before) {
        this.#facts.delete(kindAndKey);
      }
    }
  }
}

/** Returns the kind of a fact; for a retraction, the kind of the retracted fact. */
export function kindOf(fact: Fact): FactKind | undefined {
  const value = fact.value;
  if (value.case === undefined) return undefined;
  if (value.case !== "retraction") return value.case;
  return isKind(value.value.kind) ? value.value.kind : undefined;
}

function isKind(name: string): name is FactKind {
  return Object.hasOwn(FACT_RULES, name);
}

function joinKindAndKey(kind: FactKind, key: string): string {
  return `${kind}\n${key}`;
}

function mergeFacts(held: Fact, received: Fact): Fact {
  const isLater = received.version > held.version;
  const [earlier, later] = isLater ? [held, received] : [received, held];
  const value = mergeValues(earlier.value, later.value);
  if (value === held.value && !isLater) return held;
  if (value === later.value) return later;
  return { ...later, value };
}
