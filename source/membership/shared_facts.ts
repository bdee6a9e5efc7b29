import { createHash } from "node:crypto";
import { toBinary } from "@bufbuild/protobuf";
import { type Fact, FactSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import { MAXIMUM_SHARED_FACTS } from "./fact_limits.ts";
import { mergeValues } from "./fact_rules.ts";
import type { FactKind, FactValue, HeldFact } from "./replicated_facts.ts";

/**
 * Result of merging a fact; `full` if the fact is new and MAXIMUM_SHARED_FACTS are held already.
 */
export type SharedMergeOutcome =
  | {
    readonly kind: "changed";
    readonly fact: Fact;
    readonly held: HeldFact<FactKind>;
  }
  | { readonly kind: "unchanged" }
  | { readonly kind: "full" };

interface SharedEntry {
  readonly fact: Fact;
  /** Monotonic time at which this node received the fact, in milliseconds. */
  readonly receivedAt: number;
  readonly digest: number;
}

/** Holds the facts that belong to no origin, merged by kind and key. */
export class SharedFacts {
  readonly #entries = new Map<string, SharedEntry>();
  #digest = 0;

  /** Merges a fact into the fact held under its kind and key. */
  merge(fact: Fact, receivedAt: number): SharedMergeOutcome {
    const kindAndKey = `${fact.value.case}\n${fact.key}`;
    const held = this.#entries.get(kindAndKey);
    const value = held === undefined
      ? fact.value
      : mergeValues(held.fact.value, fact.value);
    if (held !== undefined && isSameValue(value, held.fact.value)) {
      return { kind: "unchanged" };
    }
    if (held === undefined && this.#entries.size >= MAXIMUM_SHARED_FACTS) {
      return { kind: "full" };
    }
    const merged = value === fact.value ? fact : { ...fact, value };
    const entry = { fact: merged, receivedAt, digest: digestOf(merged) };
    this.#digest = (this.#digest ^ (held?.digest ?? 0) ^ entry.digest) >>> 0;
    this.#entries.set(kindAndKey, entry);
    return { kind: "changed", fact: merged, held: toHeldFact(entry) };
  }

  /** Returns all facts. */
  all(): ReadonlyArray<Fact> {
    return Array.from(this.#entries.values(), ({ fact }) => fact);
  }

  /** Returns the facts of a kind. */
  ofKind<Kind extends FactKind>(kind: Kind): ReadonlyArray<HeldFact<Kind>> {
    return Array.from(this.#entries.values())
      .filter(({ fact }) => fact.value.case === kind)
      .map((entry) => toHeldFact(entry) as unknown as HeldFact<Kind>);
  }

  /** Returns a digest that is equal on nodes that hold the same facts. */
  digest(): number {
    return this.#digest;
  }
}

function toHeldFact({ fact, receivedAt }: SharedEntry): HeldFact<FactKind> {
  return {
    origin: fact.origin,
    originStart: fact.originStart,
    key: fact.key,
    value: fact.value.value as FactValue<FactKind>,
    receivedAt,
  };
}

function isSameValue(left: Fact["value"], right: Fact["value"]): boolean {
  return left.case === right.case && left.value === right.value;
}

/** Returns a digest of a fact without its origin and version, since any node may have published the fact first. */
function digestOf(fact: Fact): number {
  const bare = { ...fact, origin: "", originStart: "", version: 0n };
  const bytes = toBinary(FactSchema, bare);
  return createHash("sha256").update(bytes).digest().readUInt32BE(0);
}
