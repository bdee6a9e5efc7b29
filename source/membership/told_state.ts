import type { Fact } from "../../generated/snipepath/v1/peer_pb.ts";

/** Kind of a told fact, as the message's oneof names it. */
export type FactKind = Exclude<
  NonNullable<Fact["value"]["case"]>,
  "retraction"
>;

/** Value of a fact of one kind. */
export type FactValue<Kind extends FactKind> = Extract<
  Fact["value"],
  { readonly case: Kind }
>["value"];

/** A fact as this node holds it. */
export interface HeldFact<Kind extends FactKind> {
  readonly origin: string;
  readonly originStart: string;
  readonly key: string;
  readonly value: FactValue<Kind>;
  /** Monotonic time of this node at which the fact arrived, in milliseconds. */
  readonly heardAt: number;
}

/** What nodes tell each other. Facts merge in any order; nothing needs an answer. */
export interface ToldState {
  /** Tells a fact in this node's name; it reaches all nodes over the peer streams. */
  tell<Kind extends FactKind>(
    kind: Kind,
    key: string,
    value: FactValue<Kind>,
  ): void;
  /** Stops telling a fact; kinds that only grow can't be retracted. */
  retract?(kind: FactKind, key: string): void;
  /** Returns all held facts of a kind, one for each origin and key (or for each key, by its merge rule). */
  facts<Kind extends FactKind>(kind: Kind): ReadonlyArray<HeldFact<Kind>>;
  /** Calls a listener with each fact of a kind that is new or changed; returns what ends that. */
  watch<Kind extends FactKind>(
    kind: Kind,
    listener: (fact: HeldFact<Kind>) => void,
  ): () => void;
}
