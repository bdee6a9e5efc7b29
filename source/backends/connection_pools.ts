import { LRUCache } from "lru-cache";
import { type Dispatcher, Pool } from "undici";
import { noteSends } from "./send_noting_handler.ts";

const MAXIMUM_POOLS = 2_000;
const CONNECT_TIMEOUT_MILLISECONDS = 2_000;
const KEEP_ALIVE_MILLISECONDS = 3_000;
const MAXIMUM_HEADER_BYTES = 32 * 1024;

/** Bounds of connections; the defaults are for servers that say nothing of theirs. */
export interface ConnectionPoolsOptions {
  /** Time in which a connection must come about. */
  readonly connectMilliseconds: number;
  /** How long an idle connection is kept when its server names no time. */
  readonly keepAliveMilliseconds: number;
}

const DEFAULT_OPTIONS: ConnectionPoolsOptions = {
  connectMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
  keepAliveMilliseconds: KEEP_ALIVE_MILLISECONDS,
};

interface NotedPool {
  readonly pool: Pool;
  readonly dispatcher: Dispatcher;
}

/**
 * Connections to backend servers, pooled by address.
 *
 * A pool in which a connection went silent is retired: running requests end on their own
 * watches, and new requests get new connections.
 */
export class ConnectionPools {
  readonly #kept = createPoolCache();
  readonly #single = createPoolCache();
  readonly #options: ConnectionPoolsOptions;

  /** @param options - Bounds of connections. */
  constructor(options: ConnectionPoolsOptions = DEFAULT_OPTIONS) {
    this.#options = options;
  }

  /**
   * Returns the dispatcher of an address.
   * @param address - HOST:PORT.
   * @param newConnection - Whether the request must not use a connection that served another one.
   */
  pool(address: string, newConnection: boolean): Dispatcher {
    const pools = newConnection ? this.#single : this.#kept;
    const found = pools.get(address);
    if (found !== undefined) return found.dispatcher;
    const created = createPool(address, { ...this.#options, newConnection });
    pools.set(address, created);
    return created.dispatcher;
  }

  /** Requests that run on reusable connections to an address. */
  running(address: string): number {
    return this.#kept.peek(address)?.pool.stats.running ?? 0;
  }

  /** Open reusable connections to an address that no request uses. */
  idle(address: string): number {
    return this.#kept.peek(address)?.pool.stats.free ?? 0;
  }

  /** Makes sure that no connection open now to an address is used again. */
  retire(address: string): void {
    this.#kept.delete(address);
  }

  /** Cuts all connections. */
  async close(): Promise<void> {
    const pools = [...this.#kept.values(), ...this.#single.values()];
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }
}

function createPoolCache(): LRUCache<string, NotedPool> {
  return new LRUCache<string, NotedPool>({
    max: MAXIMUM_POOLS,
    dispose: ({ pool }) => void pool.close(),
  });
}

function createPool(
  address: string,
  options: ConnectionPoolsOptions & { readonly newConnection: boolean },
): NotedPool {
  const pool = new Pool(`http://${address}`, {
    connect: { timeout: options.connectMilliseconds },
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: options.keepAliveMilliseconds,
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
    pipelining: options.newConnection ? 0 : 1,
  });
  return { pool, dispatcher: pool.compose(noteSends) };
}
