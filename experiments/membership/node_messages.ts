/** Options of a process that runs nodes; passed as JSON in its only argument. */
export interface NodeProcessOptions {
  readonly platformAddress: string;
  readonly nodes: ReadonlyArray<{
    readonly name: string;
    readonly failureDomain: string;
  }>;
  /** Whether the nodes run their control tasks; if not, they only start their peer servers. */
  readonly control: boolean;
  readonly streams: number;
  /** Number of organisations whose received service each node publishes once a second. */
  readonly organisations: number;
}

/** Message from the driver to a process that runs nodes. */
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

/** Resources of a process: totals since its start, and the memory, streams and facts it has now. */
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

/** Message from a process that runs nodes to the driver. */
export type NodeMessage =
  | { readonly kind: "ready"; readonly node: string }
  /** A node has received a subject (`known`), or has started to publish it (`started`). */
  | {
    readonly kind: "known" | "started";
    readonly node: string;
    readonly subject: string;
    readonly atMilliseconds: number;
  }
  | { readonly kind: "report"; readonly costs: ProcessCosts };

/** Returns the time in milliseconds on a clock that all processes of the instance share. */
export function sharedMilliseconds(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}
