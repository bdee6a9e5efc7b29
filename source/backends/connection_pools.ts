import { LRUCache } from "lru-cache";
import { buildConnector, type Dispatcher, Pool } from "undici";
import {
  TrackedConnection,
  type TrackedConnectionOptions,
  trackSends,
} from "./send_tracking_handler.ts";

/** Maximum number of pools in a cache; beyond it, the least recently used pool is closed. */
const MAXIMUM_POOLS = 2_000;
const CONNECT_TIMEOUT_MILLISECONDS = 2_000;
const KEEP_ALIVE_MILLISECONDS = 3_000;
/** Largest head or trailer of a response; each name and value is an object, however short. */
const MAXIMUM_HEADER_BYTES = 8 * 1024;

/** Timeouts of connections; the defaults apply to servers whose own timeouts are unknown. */
export interface ConnectionPoolsOptions {
  /** Time limit for establishing a connection. */
  readonly connectMilliseconds: number;
  /** Lifetime of an idle connection whose server sends no keep-alive timeout. */
  readonly keepAliveMilliseconds: number;
}

/** Code of the error of a connection that was reset, in place of the system's ECONNRESET. */
const RESET_CODE = "ERR_CONNECTION_RESET";

const DEFAULT_OPTIONS: ConnectionPoolsOptions = {
  connectMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
  keepAliveMilliseconds: KEEP_ALIVE_MILLISECONDS,
};

interface PoolEntry {
  readonly pool: Pool;
  readonly dispatcher: Dispatcher;
}

/**
 * Connections to backend servers, pooled by address.
 *
 * When a connection times out without receiving a byte, the pool of reusable connections to its
 * address is retired: requests that run on the pool go on, each with its own inactivity timer, and
 * new requests get new connections.
 */
export class ConnectionPools {
  readonly #reusable = createPoolCache();
  readonly #singleUse = createPoolCache();
  readonly #options: ConnectionPoolsOptions;

  /** @param options - Timeouts of connections. */
  constructor(options: ConnectionPoolsOptions = DEFAULT_OPTIONS) {
    this.#options = options;
  }

  /**
   * Returns the dispatcher of an address.
   * @param address - HOST:PORT.
   * @param newConnection - Whether the request must open a new connection.
   */
  getDispatcher(address: string, newConnection: boolean): Dispatcher {
    const pools = newConnection ? this.#singleUse : this.#reusable;
    const found = pools.get(address);
    if (found !== undefined) return found.dispatcher;
    const created = createPool(address, { ...this.#options, newConnection });
    pools.set(address, created);
    return created.dispatcher;
  }

  /** Returns the number of requests that run on reusable connections to an address. */
  countRunning(address: string): number {
    return this.#reusable.peek(address)?.pool.stats.running ?? 0;
  }

  /** Returns the number of open reusable connections to an address that no request uses. */
  countIdle(address: string): number {
    return this.#reusable.peek(address)?.pool.stats.free ?? 0;
  }

  /** Closes an address's reusable connections once their running requests have ended. */
  retire(address: string): void {
    this.#reusable.delete(address);
  }

  /** Closes all connections and aborts the requests that run on them. */
  async close(): Promise<void> {
    const pools = [...this.#reusable.values(), ...this.#singleUse.values()];
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }
}

function createPoolCache(): LRUCache<string, PoolEntry> {
  return new LRUCache<string, PoolEntry>({
    max: MAXIMUM_POOLS,
    dispose: ({ pool }) => {
      // A pool that `close` has destroyed rejects a second attempt to close it.
      if (!pool.destroyed) void pool.close();
    },
  });
}

function createPool(
  address: string,
  options: ConnectionPoolsOptions & { readonly newConnection: boolean },
): PoolEntry {
  const pool = new Pool(`http://${address}`, {
    connect: createConnector(options.connectMilliseconds),
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: options.keepAliveMilliseconds,
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
    pipelining: options.newConnection ? 0 : 1,
    factory: (origin, clientOptions) =>
      new TrackedConnection(origin, clientOptions as TrackedConnectionOptions),
  });
  return { pool, dispatcher: pool.compose(trackSends) };
}

// undici counts a body without a length or chunks as complete when its connection is reset, but not
// when it fails with any other error.
function createConnector(timeout: number): buildConnector.connector {
  const connect = buildConnector({ timeout });
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      socket?.prependListener("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") error.code = RESET_CODE;
      });
      callback(...result);
    });
  };
}
