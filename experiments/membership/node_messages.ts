/** How a process of nodes is started; its only argument, as JSON. */
export interface NodeProcessOptions {
  readonly platformAddress: string;
  readonly nodes: ReadonlyArray<{
    readonly name: string;
    readonly failureDomain: string;
  }>;
  /** Whether the nodes run their control part; without it they only load it. */
  readonly control: boolean;
  readonly streams: number;
  /** Organisations whose received service each node tells once a second. */
  readonly organisations: number;
}

/** What the driver tells a process of nodes. */
export type DriverMessage =
  | { readonly kind: "withdraw"; readonly node: string; readonly key: string }
  | {
    readonly kind: "leave";
    readonly node: string;
    readonly address: string;
  }
  | { readonly kind: "apply"; readonly node: string; readonly size: number }
  | {
    readonly kind: "load";
    readonly address: string;
    readonly running: number;
  }
  | { readonly kind: "report" };

/** Costs of a process so far. */
export interface ProcessCosts {
  readonly atMilliseconds: number;
  readonly processorMilliseconds: number;
  readonly receivedBytes: number;
  readonly sentBytes: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
  readonly loadReads: number;
  readonly streams: number;
  readonly factsHeld: number;
}

/** What a process of nodes tells the driver. */
export type NodeMessage =
  | { readonly kind: "ready"; readonly node: string }
  /** A node has come to know a subject, or has just started telling it. */
  | {
    readonly kind: "known" | "started";
    readonly node: string;
    readonly subject: string;
    readonly atMilliseconds: number;
  }
  | { readonly kind: "report"; readonly costs: ProcessCosts };

/** Returns milliseconds on a clock that all processes of the machine share. */
export function sharedMilliseconds(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}
