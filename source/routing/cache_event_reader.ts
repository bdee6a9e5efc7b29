import { setMaxListeners } from "node:events";
import xxhash from "xxhash-wasm";
import type {
  BackendServerState,
  BackendServerView,
} from "../backends/backend_server_state.ts";
import type { EngineClient } from "../backends/engine_client.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { RoutingStatistics } from "./routing_statistics.ts";

const READ_INTERVAL_MILLISECONDS = 1_000;
const READ_SERVERS_PER_SERVICE = 8;

const { h32 } = await xxhash();

/** Dependencies of a cache event reader. */
export interface CacheEventReaderOptions {
  readonly context: NodeContext;
  readonly servers: BackendServerView;
  readonly engines: EngineClient;
  readonly statistics: RoutingStatistics;
}

/** Polls the cache events of a few engines of each service to which this node routes completions. */
export class CacheEventReader {
  readonly #options: CacheEventReaderOptions;

  /** @param options - Engines, and the statistics that the events update. */
  constructor(options: CacheEventReaderOptions) {
    this.#options = options;
  }

  /** Polls until the node stops. */
  async run(): Promise<void> {
    const { clock, random, stopping } = this.#options.context;
    // Each read in flight adds a listener to this signal.
    setMaxListeners(0, stopping);
    while (!stopping.aborted) {
      await Promise.all(
        this.#selectServers().map((server) => this.#read(server)),
      );
      const jitter = 0.9 + 0.2 * random.next();
      await clock.sleep(READ_INTERVAL_MILLISECONDS * jitter, stopping);
    }
  }

  #selectServers(): ReadonlyArray<BackendServerState> {
    const { statistics, servers } = this.#options;
    return statistics.completionServices().flatMap((service) =>
      this.#selectByHash(servers.servers(service))
    );
  }

  #selectByHash(
    servers: ReadonlyArray<BackendServerState>,
  ): ReadonlyArray<BackendServerState> {
    const { node } = this.#options.context.settings;
    return servers
      .filter(({ reachable }) => reachable)
      .map((server) => ({ server, score: h32(`${server.address}\n${node}`) }))
      .sort((left, right) => right.score - left.score)
      .slice(0, READ_SERVERS_PER_SERVICE)
      .map(({ server }) => server);
  }

  async #read({ address, startIdentity }: BackendServerState): Promise<void> {
    const { engines, statistics, context } = this.#options;
    const { caches } = statistics;
    caches.recordStart(address, startIdentity);
    const events = await engines.readCacheEvents(address, {
      after: caches.newestSequence(address),
      signal: context.stopping,
      silenceMilliseconds: context.settings.silenceMilliseconds,
    });
    if (events !== undefined) caches.apply(address, events);
  }
}
