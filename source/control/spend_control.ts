import type { Service } from "../../generated/snipepath/v1/declaration_pb.ts";
import type { BackendServerView } from "../backends/backend_server_state.ts";
import type { ConfigurationView } from "../membership/configuration_view.ts";
import type { NodeContext } from "../context/node_context.ts";
import { SpendKeeper } from "./spend_keeper.ts";

const CHECK_MILLISECONDS = 1_000;

/** What keeping all services' servers needs. */
export interface SpendControlOptions {
  readonly context: NodeContext;
  readonly configuration: ConfigurationView;
  readonly servers: BackendServerView;
  /** Requests of a service that wait at this node for a server. */
  readonly queued?: (service: string) => number;
  /** Number of nodes that try for each lease. */
  readonly candidates?: () => number;
}

/**
 * Keeps the backend servers of every declared service, each under a lease of its own.
 * @example
 * ```ts
 * const control = new SpendControl({ context, configuration, servers });
 * await control.run();
 * ```
 */
export class SpendControl {
  readonly #options: SpendControlOptions;
  readonly #keepers = new Map<string, Promise<void>>();

  /** @param options - The declaration and the told load. */
  constructor(options: SpendControlOptions) {
    this.#options = options;
  }

  /** Runs a keeper for each service until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options.context;
    while (!stopping.aborted) {
      for (const { name } of this.#services()) {
        if (!this.#keepers.has(name)) {
          this.#keepers.set(name, this.#createKeeper(name).run());
        }
      }
      await clock.sleep(CHECK_MILLISECONDS, stopping);
    }
    await Promise.all(this.#keepers.values());
  }

  #createKeeper(name: string): SpendKeeper {
    const { context, servers, queued, candidates } = this.#options;
    return new SpendKeeper({
      context,
      name,
      servers,
      service: () => this.#services().find((service) => service.name === name),
      boundMicrosPerHour: () => this.#boundFor(name),
      ...(queued && { queued: () => queued(name) }),
      ...(candidates && { candidates }),
    });
  }

  #services(): ReadonlyArray<Service> {
    const record = this.#options.configuration.current();
    return record?.declaration?.services ?? [];
  }

  /** Shares the bound among the services by their largest numbers of servers. */
  #boundFor(name: string): number {
    const record = this.#options.configuration.current();
    const bound = Number(record?.declaration?.spend?.microsPerHour ?? 0n);
    const services = this.#services();
    const all = services.reduce(
      (sum, service) => sum + service.maximumServers,
      0,
    );
    const own = services.find((service) => service.name === name);
    if (bound === 0 || own === undefined || all === 0) return 0;
    return Math.floor((bound * own.maximumServers) / all);
  }
}
