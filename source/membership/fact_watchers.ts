import type { FactKind, HeldFact } from "./told_state.ts";

type Listener = (fact: HeldFact<FactKind>) => void;

/** Listeners to facts, by kind. */
export class FactWatchers {
  readonly #changes = new Map<FactKind, Set<Listener>>();
  readonly #ends = new Map<FactKind, Set<Listener>>();

  /** Adds a listener to new and changed facts; returns what removes it. */
  watch<Kind extends FactKind>(
    kind: Kind,
    listener: (fact: HeldFact<Kind>) => void,
  ): () => void {
    return addListener(this.#changes, kind, listener as unknown as Listener);
  }

  /** Adds a listener to facts that end; returns what removes it. */
  watchEnds<Kind extends FactKind>(
    kind: Kind,
    listener: (fact: HeldFact<Kind>) => void,
  ): () => void {
    return addListener(this.#ends, kind, listener as unknown as Listener);
  }

  /** Calls the listeners to a new or changed fact. */
  notify(kind: FactKind, fact: HeldFact<FactKind>): void {
    callListeners(this.#changes.get(kind), fact);
  }

  /** Calls the listeners to a fact that ended. */
  notifyEnd(kind: FactKind, fact: HeldFact<FactKind>): void {
    callListeners(this.#ends.get(kind), fact);
  }
}

function addListener(
  listeners: Map<FactKind, Set<Listener>>,
  kind: FactKind,
  listener: Listener,
): () => void {
  const ofKind = listeners.get(kind) ?? new Set<Listener>();
  listeners.set(kind, ofKind);
  ofKind.add(listener);
  return () => ofKind.delete(listener);
}

function callListeners(
  listeners: ReadonlySet<Listener> | undefined,
  fact: HeldFact<FactKind>,
): void {
  for (const listener of listeners ?? []) listener(fact);
}
