import type {
  FactKind,
  FactValue,
  HeldFact,
  ToldState,
} from "../../source/membership/told_state.ts";
import type { Clock } from "../../source/utilities/clock.ts";

/** How facts travel between the nodes of a test. */
export interface ToldBusOptions {
  readonly clock: Clock;
  /** Time from telling to hearing at another node, in milliseconds. */
  readonly delayMilliseconds: number;
}

/** Carries facts between several nodes of one process, late, and counts them. */
export class ToldBus {
  readonly #options: ToldBusOptions;
  readonly #nodes: ToldNode[] = [];
  /** Number of facts told so far. */
  told = 0;

  /** @param options - How facts travel. */
  constructor(options: ToldBusOptions) {
    this.#options = options;
  }

  /** Adds a node and returns its view of what is told. */
  join(node: string): ToldState {
    const joined = new ToldNode(
      node,
      this.#options.clock,
      (fact) => this.#send(joined, fact),
    );
    this.#nodes.push(joined);
    return joined;
  }

  #send(from: ToldNode, fact: AnyFact): void {
    this.told += 1;
    const others = this.#nodes.filter((node) => node !== from);
    const { clock, delayMilliseconds } = this.#options;
    void clock.sleep(delayMilliseconds).then(() => {
      for (const node of others) node.hear(fact);
    });
  }
}

type AnyFact = HeldFact<FactKind> & { readonly kind: FactKind };

class ToldNode implements ToldState {
  readonly #node: string;
  readonly #clock: Clock;
  readonly #send: (fact: AnyFact) => void;
  readonly #facts = new Map<string, AnyFact>();
  readonly #listeners = new Set<
    { readonly kind: FactKind; readonly listener: (fact: never) => void }
  >();

  constructor(node: string, clock: Clock, send: (fact: AnyFact) => void) {
    this.#node = node;
    this.#clock = clock;
    this.#send = send;
  }

  tell<Kind extends FactKind>(
    kind: Kind,
    key: string,
    value: FactValue<Kind>,
  ): void {
    const fact = {
      kind,
      key,
      value,
      origin: this.#node,
      originStart: `${this.#node}-start`,
      heardAt: this.#clock.monotonic(),
    } as unknown as AnyFact;
    this.hear(fact);
    this.#send(fact);
  }

  hear(fact: AnyFact): void {
    const held = { ...fact, heardAt: this.#clock.monotonic() };
    const id = fact.kind === "keyWithdrawal"
      ? `${fact.kind} ${fact.key}`
      : `${fact.kind} ${fact.origin} ${fact.key}`;
    this.#facts.set(id, held);
    for (const { kind, listener } of this.#listeners) {
      if (kind === fact.kind) listener(held as never);
    }
  }

  facts<Kind extends FactKind>(kind: Kind): ReadonlyArray<HeldFact<Kind>> {
    return [...this.#facts.values()].filter((fact) =>
      fact.kind === kind
    ) as unknown as ReadonlyArray<HeldFact<Kind>>;
  }

  watch<Kind extends FactKind>(
    kind: Kind,
    listener: (fact: HeldFact<Kind>) => void,
  ): () => void {
    const entry = { kind, listener } as never;
    this.#listeners.add(entry);
    return () => this.#listeners.delete(entry);
  }
}
