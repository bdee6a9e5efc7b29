/** Settings of a node of an installation, read at its start. */
export interface InstallationSettings {
  /** Name of the node, unique in the installation. */
  readonly node: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Region by failure domain, as far as known. */
  readonly regions: ReadonlyMap<string, string>;
  /** Processor capacity that the node may use, in cores of reference speed. */
  readonly processorShare: number;
  /** Memory of the instance in bytes, beyond which the process is killed. */
  readonly memoryBytes: number;
  /** Number of descriptors that the process may open. */
  readonly descriptors: number;
  /** HOST:PORT that callers connect to. */
  readonly callerAddress: string;
  /** HOST:PORT at which other nodes are served; undefined when the node serves none. */
  readonly peerAddress: string | undefined;
  /** HOST:PORT of the readiness check; undefined when the node serves none. */
  readonly readinessAddress: string | undefined;
  /**
   * HOST:PORT at which callers look up node addresses; undefined when this node serves no lookups.
   */
  readonly directoryAddress: string | undefined;
  /** HOST:PORT at which metrics are scraped; without a host, the node serves no metrics. */
  readonly metricsAddress: string;
  /** HOST:PORT of the store. */
  readonly storeAddress: string;
  /** Maximum size of a row's value, in bytes. */
  readonly rowBytes: number;
  /**
   * HOST:PORT that accepts usage reports and server orders; undefined when the installation has
   * none.
   */
  readonly dutyAddress: string | undefined;
  /** Whether usage must be reported. */
  readonly reportsUsage: boolean;
  /** Whether servers can be ordered. */
  readonly ordersServers: boolean;
  readonly bounds: InstallationBounds;
}

/** Time bounds that the installation's operators set, in milliseconds. */
export interface InstallationBounds {
  /** Time from a server's notice that it drains until it gets no new requests. */
  readonly drainMilliseconds: number;
  /** Time from the stop signal until the process is killed. */
  readonly graceMilliseconds: number;
  /** Time from the withdrawal of a key until no node runs a request with it. */
  readonly keyWithdrawalMilliseconds: number;
  /** Time in which a duty must not pass from one holder to another. */
  readonly leaseMilliseconds: number;
  /** Length of a usage window. */
  readonly usageWindowMilliseconds: number;
  /** Time from the end of a usage window until its report is due. */
  readonly usageReportDeadlineMilliseconds: number;
  /** Time for which results are retained after their step was submitted. */
  readonly resultRetentionMilliseconds: number;
  /** Maximum time for which a caller may cache the result of an address lookup. */
  readonly addressKeepMilliseconds: number;
  /** Time from the evacuation of a failure domain until its servers get no new requests. */
  readonly evacuationMilliseconds: number;
  /**
   * Factor on the requests a second of a server in its warm-up up to which it may be exceeded in one
   * second.
   */
  readonly warmUpOverageFactor: number;
  /** Number of requests in one second that a server in its warm-up may get beyond that. */
  readonly warmUpSlackRequests: number;
}
