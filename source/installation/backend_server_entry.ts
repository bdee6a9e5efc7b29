/** A backend server's own entry in the store. */
export interface BackendServerEntry {
  /** Name of the server; a restarted server may keep it. */
  readonly identifier: string;
  /** Time of the server's start in Unix milliseconds; 0 when the server doesn't report it. */
  readonly startedAt: number;
  readonly service: string;
  /** Version of the server's software, whose streams another version can't go on with. */
  readonly softwareVersion: string;
  /** HOST:PORT. */
  readonly address: string;
  readonly failureDomain: string;
  /** Maximum number of requests that the server runs concurrently. */
  readonly slots: number;
  /** Whether the server is draining and takes no new requests. */
  readonly isDraining: boolean;
  /**
   * Remaining time of the server's warm-up when it wrote the entry, 0 when it is warm; undefined when
   * the entry doesn't name it.
   */
  readonly warmUpMilliseconds: number | undefined;
  /** Loaded weight version by name of the model. */
  readonly weightVersions: ReadonlyMap<string, number>;
  /** Number of weight orders that the server has accepted since its start. */
  readonly acceptedOrders: number;
  /** Whether the platform may reclaim the server at short notice. */
  readonly isReclaimable: boolean;
}

/** One start of a server. */
export type ServerStart = Pick<BackendServerEntry, "identifier" | "startedAt">;
