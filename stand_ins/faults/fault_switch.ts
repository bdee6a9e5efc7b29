/** What a stand-in does wrong on purpose. */
export type FaultKind =
  /** The connection is destroyed before any effect. */
  | "down"
  /** The request takes effect and is answered after a delay. */
  | "slow"
  /** The request takes effect; the connection is destroyed without an answer. */
  | "loseAnswer"
  /** No effect, no answer; the connection stays open for good. */
  | "freeze"
  /** Answered with status 500, without effect. */
  | "error"
  /** The request takes effect; the answer's body is cut in its middle. */
  | "garbled"
  /** The request takes effect; the answer to an earlier request is sent. */
  | "crossed";

/** All kinds of fault. */
export const FAULT_KINDS: ReadonlyArray<FaultKind> = [
  "down",
  "slow",
  "loseAnswer",
  "freeze",
  "error",
  "garbled",
  "crossed",
];

/** One fault that is switched on. */
export interface Fault {
  /** Prefix of the paths that it hits. */
  readonly path: string;
  readonly fault: FaultKind;
  /** Delay of a slow answer. */
  readonly milliseconds: number;
  /** How many requests it hits; 0 for all until it is cleared. */
  readonly count: number;
  /** With "freeze": the connections open now go silent, new ones work. */
  readonly existing: boolean;
}

interface ActiveFault {
  readonly fault: Fault;
  left: number;
}

/**
 * Holds the faults that a stand-in was told to show.
 * @example
 * ```ts
 * const faults = new FaultSwitch();
 * faults.set({ path: "/table", fault: "error", count: 1 });
 * faults.take("/table/keys/a"); // the fault
 * faults.take("/table/keys/a"); // undefined
 * ```
 */
export class FaultSwitch {
  #active: ActiveFault[] = [];
  #onFreezeExisting: () => void = () => {};
  #hits = 0;

  /** How many requests were hit so far, also on frozen connections. */
  get hits(): number {
    return this.#hits;
  }

  /** Counts a request that arrived on a frozen connection. */
  noteFrozenRequest(): void {
    this.#hits += 1;
  }

  /** Switches a fault on; earlier ones come first. */
  set(fault: Partial<Fault> & Pick<Fault, "fault">): void {
    const whole = {
      path: "/",
      milliseconds: 0,
      count: 0,
      existing: false,
      ...fault,
    };
    if (whole.fault === "freeze" && whole.existing) {
      this.#onFreezeExisting();
      return;
    }
    const left = whole.count === 0 ? Infinity : whole.count;
    this.#active.push({ fault: whole, left });
  }

  /** Switches all faults off; frozen connections stay frozen. */
  clear(): void {
    this.#active = [];
  }

  /** Returns the fault that hits a request, and counts it. */
  take(path: string): Fault | undefined {
    const hit = this.#active.find((active) =>
      path.startsWith(active.fault.path)
    );
    if (hit === undefined) return undefined;
    hit.left -= 1;
    this.#hits += 1;
    if (hit.left <= 0) {
      this.#active = this.#active.filter((active) => active !== hit);
    }
    return hit.fault;
  }

  /** Sets what freezes the connections that are open now. */
  onFreezeExisting(freeze: () => void): void {
    this.#onFreezeExisting = freeze;
  }
}
