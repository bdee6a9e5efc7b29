/** A client's connection, which is closed to make room for others. */
export interface ClosableConnection {
  destroy(): void;
}

interface ConnectionState {
  /** Number of requests that have no whole answer yet. */
  open: number;
  /** Whether a request has come on it. */
  isUsed: boolean;
}

/**
 * The connections of one address, up to a limit. Beyond it, the oldest one that has brought no request
 * is closed, then the one that has been idle for longest; a new one is refused if all have requests.
 * @example
 * ```ts
 * server.on("connection", (socket) => table.add(socket));
 * ```
 */
export class ConnectionTable<Connection extends ClosableConnection> {
  readonly #limit: number;
  readonly #onClosed: () => void;
  /** In the order in which they were opened or became idle. */
  readonly #states = new Map<Connection, ConnectionState>();

  /**
   * @param limit - Number of connections that may be open.
   * @param onClosed - Called for each connection that is closed to make room.
   */
  constructor(limit: number, onClosed: () => void) {
    this.#limit = limit;
    this.#onClosed = onClosed;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#states.size;
  }

  /** Adds a new connection, which is closed at once if there is no room for it. */
  add(connection: Connection): void {
    const closed = this.#states.size < this.#limit
      ? undefined
      : this.#findFirst(({ open, isUsed }) => open === 0 && !isUsed) ??
        this.#findFirst(({ open }) => open === 0) ?? connection;
    this.#states.set(connection, { open: 0, isUsed: false });
    if (closed === undefined) return;
    this.remove(closed);
    closed.destroy();
    this.#onClosed();
  }

  /** Removes a connection that has closed. */
  remove(connection: Connection): void {
    this.#states.delete(connection);
  }

  /**
   * Records a request on a connection.
   * @returns The number of its requests that have no whole answer yet.
   */
  recordRequest(connection: Connection): number {
    const state = this.#states.get(connection);
    if (state === undefined) return 1;
    state.isUsed = true;
    state.open += 1;
    return state.open;
  }

  /** Records that a request on a connection was answered, or was given up. */
  recordAnswer(connection: Connection): void {
    const state = this.#states.get(connection);
    if (state === undefined) return;
    state.open -= 1;
    // Now the last of those that are idle.
    this.#states.delete(connection);
    this.#states.set(connection, state);
  }

  #findFirst(
    matches: (state: ConnectionState) => boolean,
  ): Connection | undefined {
    for (const [connection, state] of this.#states) {
      if (matches(state)) return connection;
    }
    return undefined;
  }
}
