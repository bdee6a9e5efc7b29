import { createHash } from "node:crypto";
import { toBinary } from "@bufbuild/protobuf";
import { type Fact, FactSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import { MAXIMUM_SHARED_FACTS } from "./fact_limits.ts";
import { joinValues } from "./fact_rules.ts";
import type { FactKind, FactValue, HeldFact } from "./told_state.ts";

/** What joining a fact did. */
export type SharedJoinOutcome =
  | {
    readonly kind: "changed";
    readonly fact: Fact;
    readonly held: HeldFact<FactKind>;
  }
  | { readonly kind: "unchanged" }
  | { readonly kind: "full" };

interface SharedEntry {
  readonly fact: Fact;
  readonly heardAt: number;
  readonly digest: number;
}

/** Facts that belong to no origin, joined by kind and key. */
export class SharedFacts {
  readonly #entries = new Map<string, SharedEntry>();
  #digest = 0;

  /** Joins a fact with the one held under its kind and key. */
  join(fact: Fact, heardAt: number): SharedJoinOutcome {
    const slot = `${fact.value.case}\n${fact.key}`;
    const held = this.#entries.get(slot);
    const value = held === undefined
      ? fact.value
      : joinValues(held.fact.value, fact.value);
    if (held !== undefined && isSameValue(value, held.fact.value)) {
      return { kind: "unchanged" };
    }
    if (held === undefined && this.#entries.size >= MAXIMUM_SHARED_FACTS) {
      return { kind: "full" };
    }
    const merged = value === fact.value ? fact : { ...fact, value };
    const entry = { fact: merged, heardAt, digest: digestOf(merged) };
    this.#digest = (this.#digest ^ (held?.digest ?? 0) ^ entry.digest) >>> 0;
    this.#entries.set(slot, entry);
    return { kind: "changed", fact: merged, held: toHeld(entry) };
  }

  /** Returns all facts. */
  all(): ReadonlyArray<Fact> {
    return Array.from(this.#entries.values(), ({ fact }) => fact);
  }

  /** Returns the facts of a kind. */
  held<Kind extends FactKind>(kind: Kind): ReadonlyArray<HeldFact<Kind>> {
    return Array.from(this.#entries.values())
      .filter(({ fact }) => fact.value.case === kind)
      .map((entry) => toHeld(entry) as unknown as HeldFact<Kind>);
  }

  /** Returns a digest that is equal where the same facts are held. */
  digest(): number {
    return this.#digest;
  }
}

function toHeld({ fact, heardAt }: SharedEntry): HeldFact<FactKind> {
  return {
    origin: fact.origin,
    originStart: fact.originStart,
    key: fact.key,
    value: fact.value.value as FactValue<FactKind>,
    heardAt,
  };
}

function isSameValue(left: Fact["value"], right: Fact["value"]): boolean {
  return left.case === right.case && left.value === right.value;
}

/** Digests a fact without its origin, because any node may have told it first. */
function digestOf(fact: Fact): number {
  const bare = { ...fact, origin: "", originStart: "", version: 0n };
  const bytes = toBinary(FactSchema, bare);
  return createHash("sha256").update(bytes).digest().readUInt32BE(0);
}
