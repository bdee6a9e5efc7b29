/** What a node of an installation is told about itself at its start. */
export interface InstallationSettings {
  /** Name of the node, unique in the installation. */
  readonly node: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Processor that the node may use, in cores of the usual speed. */
  readonly processorShare: number;
  /** HOST:PORT for callers. */
  readonly callerAddress: string;
  /** HOST:PORT of the readiness check; undefined when there is none. */
  readonly readinessAddress: string | undefined;
  /** HOST:PORT where callers ask for addresses; undefined when this node is not asked. */
  readonly directoryAddress: string | undefined;
  /** HOST:PORT at which metrics are fetched; without a host, no metrics are served. */
  readonly metricsAddress: string;
  /** HOST:PORT of the store. */
  readonly storeAddress: string;
  /** Largest value of a row, in bytes. */
  readonly rowBytes: number;
  /** HOST:PORT that takes usage reports and server orders; undefined when there is none. */
  readonly dutyAddress: string | undefined;
  /** Whether usage has to be reported. */
  readonly reportsUsage: boolean;
  /** Whether servers can be ordered. */
  readonly ordersServers: boolean;
  readonly bounds: InstallationBounds;
}

/** Bounds that the installation's operators state, in milliseconds. */
export interface InstallationBounds {
  /** From the notice of a leaving server until it gets no new request. */
  readonly drainMilliseconds: number;
  /** From the signal to stop until the process is killed. */
  readonly graceMilliseconds: number;
  /** From the withdrawal of a key until no request with it runs, on any node. */
  readonly keyWithdrawalMilliseconds: number;
  /** In which holders of a duty must not take turns. */
  readonly leaseMilliseconds: number;
  /** Length of a usage window. */
  readonly usageWindowMilliseconds: number;
  /** From a usage window's end until its report is due. */
  readonly usageLateMilliseconds: number;
  /** How long results are kept after their step was submitted. */
  readonly resultKeepMilliseconds: number;
  /** Longest time that a caller may keep an address answer. */
  readonly addressKeepMilliseconds: number;
}
