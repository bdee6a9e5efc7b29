/** A kind of fault that a stand-in can inject. */
export type FaultKind =
  /** The connection is destroyed before the request takes effect. */
  | "down"
  /** The request is handled after a delay. */
  | "slow"
  /** The request takes effect, but the connection is destroyed without a response. */
  | "loseAnswer"
  /** The request has no effect and no response; the connection stays open. */
  | "freeze"
  /** The request has no effect; its response has status 500. */
  | "error"
  /** The request takes effect; only the first half of the response body is sent. */
  | "garbled"
  /** The request takes effect; the response to an earlier request is sent. */
  | "crossed";

/** All fault kinds. */
export const FAULT_KINDS: ReadonlyArray<FaultKind> = [
  "down",
  "slow",
  "loseAnswer",
  "freeze",
  "error",
  "garbled",
  "crossed",
];

/** A fault to inject. */
export interface Fault {
  /** Prefix of the request paths that the fault applies to. */
  readonly path: string;
  readonly fault: FaultKind;
  /** Delay of a "slow" fault. */
  readonly milliseconds: number;
  /** Number of requests that the fault applies to; 0 for all until faults are cleared. */
  readonly count: number;
  /** For "freeze": whether only connections that are open when the fault is set freeze. */
  readonly existing: boolean;
}

interface ActiveFault {
  readonly fault: Fault;
  remainingRequests: number;
}

/**
 * Selects the fault that a stand-in injects into each request.
 * @example
 * ```ts
 * const faults = new FaultInjector();
 * faults.set({ path: "/table", fault: "error", count: 1 });
 * faults.takeFault("/table/keys/a"); // Returns the fault.
 * faults.takeFault("/table/keys/a"); // Returns undefined: the fault applied to one request.
 * ```
 */
export class FaultInjector {
  #active: ActiveFault[] = [];
  #freezeOpenConnections: () => void = () => {};
  #faultedRequests = 0;

  /** Number of requests that a fault applied to, including those on frozen connections. */
  get faultedRequests(): number {
    return this.#faultedRequests;
  }

  /** Counts a request received on a frozen connection. */
  countFrozenRequest(): void {
    this.#faultedRequests += 1;
  }

  /** Adds a fault; if several match a request, the earliest added applies. */
  set(fault: Partial<Fault> & Pick<Fault, "fault">): void {
    const complete = {
      path: "/",
      milliseconds: 0,
      count: 0,
      existing: false,
      ...fault,
    };
    if (complete.fault === "freeze" && complete.existing) {
      this.#freezeOpenConnections();
      return;
    }
    const remainingRequests = complete.count === 0 ? Infinity : complete.count;
    this.#active.push({
      fault: complete,
      remainingRequests,
    });
  }

  /** Removes all faults; frozen connections stay frozen. */
  clear(): void {
    this.#active = [];
  }

  /** Returns the fault for a request, if any, and counts the request against it. */
  takeFault(path: string): Fault | undefined {
    const matching = this.#active.find((active) =>
      path.startsWith(active.fault.path)
    );
    if (matching === undefined) return undefined;
    matching.remainingRequests -= 1;
    this.#faultedRequests += 1;
    if (matching.remainingRequests <= 0) {
      this.#active = this.#active.filter((active) => active !== matching);
    }
    return matching.fault;
  }

  /** Sets the callback that freezes the connections open at that time. */
  setFreezeHandler(freeze: () => void): void {
    this.#freezeOpenConnections = freeze;
  }
}
