import type {
  FactKind,
  FactValue,
  HeldFact,
  ReplicatedFacts,
} from "../../source/membership/replicated_facts.ts";
import type { Clock } from "../../source/utilities/clock.ts";

/** Options for replicating facts between the nodes of a test. */
export interface FactBusOptions {
  readonly clock: Clock;
  /** Delay between the publication of a fact and its receipt by other nodes. */
  readonly delayMilliseconds: number;
}

/** Replicates facts between nodes in one process with a fixed delay, and counts publications. */
export class FactBus {
  readonly #options: FactBusOptions;
  readonly #nodes: FactBusNode[] = [];
  /** Number of facts published so far. */
  publishedFactCount = 0;

  /** @param options - Clock, and delay of facts in milliseconds. */
  constructor(options: FactBusOptions) {
    this.#options = options;
  }

  /** Adds a node and returns the replicated facts as that node sees them. */
  join(node: string): ReplicatedFacts {
    const joined = new FactBusNode(
      node,
      this.#options.clock,
      (fact) => this.#send(joined, fact),
    );
    this.#nodes.push(joined);
    return joined;
  }

  #send(from: FactBusNode, fact: AnyFact): void {
    this.publishedFactCount += 1;
    const others = this.#nodes.filter((node) => node !== from);
    const { clock, delayMilliseconds } = this.#options;
    void clock.sleep(delayMilliseconds).then(() => {
      for (const node of others) node.receive(fact);
    });
  }
}

type AnyFact = HeldFact<FactKind> & { readonly kind: FactKind };

class FactBusNode implements ReplicatedFacts {
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

  publish<Kind extends FactKind>(
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
      receivedAt: this.#clock.monotonic(),
    } as unknown as AnyFact;
    this.receive(fact);
    this.#send(fact);
  }

  receive(fact: AnyFact): void {
    const receivedFact = { ...fact, receivedAt: this.#clock.monotonic() };
    const factIdentifier = fact.kind === "keyWithdrawal"
      ? `${fact.kind} ${fact.key}`
      : `${fact.kind} ${fact.origin} ${fact.key}`;
    this.#facts.set(factIdentifier, receivedFact);
    for (const { kind, listener } of this.#listeners) {
      if (kind === fact.kind) listener(receivedFact as never);
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
