import { setMaxListeners } from "node:events";
import xxhash from "xxhash-wasm";
import type {
  BackendServerState,
  BackendServerView,
} from "../backends/backend_server_state.ts";
import type { EngineClient } from "../backends/engine_client.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { ServerExperience } from "./server_experience.ts";

const READ_INTERVAL_MILLISECONDS = 1_000;
const SERVERS_OF_A_SERVICE = 8;

const { h32 } = await xxhash();

/** What a cache event reader needs. */
export interface CacheEventReaderOptions {
  readonly context: NodeContext;
  readonly servers: BackendServerView;
  readonly engines: EngineClient;
  readonly experience: ServerExperience;
}

/** Reads cache events of a few engines of each service that this node routes completions to. */
export class CacheEventReader {
  readonly #options: CacheEventReaderOptions;

  /** @param options - Engines and what is learnt of them. */
  constructor(options: CacheEventReaderOptions) {
    this.#options = options;
  }

  /** Reads until the process ends. */
  async run(): Promise<void> {
    const { clock, random, stopping } = this.#options.context;
    // Each read in flight listens for the end of the process.
    setMaxListeners(0, stopping);
    while (!stopping.aborted) {
      await Promise.all(this.#chosen().map((server) => this.#read(server)));
      const jitter = 0.9 + 0.2 * random.next();
      await clock.sleep(READ_INTERVAL_MILLISECONDS * jitter, stopping);
    }
  }

  #chosen(): ReadonlyArray<BackendServerState> {
    const { experience, servers } = this.#options;
    return experience.completionServices().flatMap((service) =>
      this.#fewest(servers.servers(service))
    );
  }

  #fewest(
    servers: ReadonlyArray<BackendServerState>,
  ): ReadonlyArray<BackendServerState> {
    const { node } = this.#options.context.settings;
    return servers
      .filter(({ reachable }) => reachable)
      .map((server) => ({ server, score: h32(`${server.address}\n${node}`) }))
      .sort((left, right) => right.score - left.score)
      .slice(0, SERVERS_OF_A_SERVICE)
      .map(({ server }) => server);
  }

  async #read({ address, startIdentity }: BackendServerState): Promise<void> {
    const { engines, experience, context } = this.#options;
    const { caches } = experience;
    caches.noteStart(address, startIdentity);
    const events = await engines.cacheEvents(address, {
      after: caches.newestSequence(address),
      signal: context.stopping,
      silenceMilliseconds: context.settings.silenceMilliseconds,
    });
    if (events !== undefined) caches.apply(address, events);
  }
}
