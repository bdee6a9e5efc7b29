/** What a backend server says of itself. */
export interface BackendServerEntry {
  /** Name of this server; a restart may keep it. */
  readonly identifier: string;
  /** Unix milliseconds of the server's start; 0 when it doesn't say. */
  readonly startedAt: number;
  readonly service: string;
  /** HOST:PORT. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** How long it stays slow after its start. */
  readonly warmUpMilliseconds: number;
  /** Loaded weight versions by model. */
  readonly weightVersions: ReadonlyMap<string, number>;
  /** Number of orders that it has accepted since its start. */
  readonly acceptedOrders: number;
  /** Whether it may be taken away at short notice. */
  readonly isReclaimable: boolean;
}
