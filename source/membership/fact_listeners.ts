import type { FactKind, HeldFact } from "./replicated_facts.ts";

type Listener = (fact: HeldFact<FactKind>) => void;

/** Registers and calls the listeners to facts of each kind. */
export class FactListeners {
  readonly #changes = new Map<FactKind, Set<Listener>>();
  readonly #removals = new Map<FactKind, Set<Listener>>();

  /** Adds a listener to new and changed facts; returns a function that removes the listener. */
  watch<Kind extends FactKind>(
    kind: Kind,
    listener: (fact: HeldFact<Kind>) => void,
  ): () => void {
    return addListener(this.#changes, kind, listener as unknown as Listener);
  }

  /** Adds a listener to removed facts; returns a function that removes the listener. */
  watchRemovals<Kind extends FactKind>(
    kind: Kind,
    listener: (fact: HeldFact<Kind>) => void,
  ): () => void {
    return addListener(this.#removals, kind, listener as unknown as Listener);
  }

  /** Calls the listeners to new and changed facts of a kind. */
  notify(kind: FactKind, fact: HeldFact<FactKind>): void {
    callListeners(this.#changes.get(kind), fact);
  }

  /** Calls the listeners to removed facts of a kind. */
  notifyRemoval(kind: FactKind, fact: HeldFact<FactKind>): void {
    callListeners(this.#removals.get(kind), fact);
  }
}

function addListener(
  listeners: Map<FactKind, Set<Listener>>,
  kind: FactKind,
  listener: Listener,
): () => void {
  const listenersOfKind = listeners.get(kind) ?? new Set<Listener>();
  listeners.set(kind, listenersOfKind);
  listenersOfKind.add(listener);
  return () => listenersOfKind.delete(listener);
}

function callListeners(
  listeners: ReadonlySet<Listener> | undefined,
  fact: HeldFact<FactKind>,
): void {
  for (const listener of listeners ?? []) listener(fact);
}
