import type { Fact } from "../../generated/snipepath/v1/peer_pb.ts";

/** Kind of a replicated fact, as named in the oneof of the message `Fact`. */
export type FactKind = Exclude<
  NonNullable<Fact["value"]["case"]>,
  "retraction"
>;

/** Value of a fact of one kind. */
export type FactValue<Kind extends FactKind> = Extract<
  Fact["value"],
  { readonly case: Kind }
>["value"];

/** Fact that this node holds. */
export interface HeldFact<Kind extends FactKind> {
  /**
   * Name of the node that published the fact; for facts of shared kinds, of the node whose fact last
   * changed the held value.
   */
  readonly origin: string;
  /** Identity of the process start of the origin. */
  readonly originStart: string;
  readonly key: string;
  readonly value: FactValue<Kind>;
  /** Monotonic time at which this node received the fact, in milliseconds. */
  readonly receivedAt: number;
}

/**
 * Publishes and reads the facts that all nodes replicate. The result of merging does not depend on
 * the order of arrival, and receivers do not acknowledge facts.
 */
export interface ReplicatedFacts {
  /** Publishes a fact of this node, which the peer streams replicate to all nodes. */
  publish<Kind extends FactKind>(
    kind: Kind,
    key: string,
    value: FactValue<Kind>,
  ): void;
  /**
   * Retracts a fact of this node; absent in implementations that can't retract facts. Facts of shared
   * kinds, which all nodes merge by key whoever published them, can't be retracted.
   */
  retract?(kind: FactKind, key: string): void;
  /** Returns all held facts of a kind: one per origin and key, or one per key for shared kinds. */
  facts<Kind extends FactKind>(kind: Kind): ReadonlyArray<HeldFact<Kind>>;
  /** Calls a listener with each new or changed fact of a kind; returns a function that removes the listener. */
  watch<Kind extends FactKind>(
    kind: Kind,
    listener: (fact: HeldFact<Kind>) => void,
  ): () => void;
}
