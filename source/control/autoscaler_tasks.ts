import type { Service } from "../../generated/snipepath/v1/declaration_pb.ts";
import type { BackendServerView } from "../backends/backend_server_state.ts";
import type { ConfigurationView } from "../membership/configuration_view.ts";
import type { NodeContext } from "../context/node_context.ts";
import { ServiceAutoscaler } from "./service_autoscaler.ts";

const CHECK_MILLISECONDS = 1_000;

/** Options of the autoscaler tasks. */
export interface AutoscalerTasksOptions {
  readonly context: NodeContext;
  readonly configuration: ConfigurationView;
  readonly servers: BackendServerView;
  /** Returns the number of requests for a service that are queued at this node. */
  readonly queued?: (service: string) => number;
  /** Returns the number of nodes that compete for each lease. */
  readonly candidates?: () => number;
}

/**
 * Runs an autoscaler for each declared service; each autoscaler has its own lease.
 * @example
 * ```ts
 * const tasks = new AutoscalerTasks({ context, configuration, servers });
 * await tasks.run();
 * ```
 */
export class AutoscalerTasks {
  readonly #options: AutoscalerTasksOptions;
  readonly #autoscalers = new Map<string, Promise<void>>();

  /** @param options - The node context, the configuration and the load of the backend servers. */
  constructor(options: AutoscalerTasksOptions) {
    this.#options = options;
  }

  /** Runs an autoscaler for each service until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options.context;
    while (!stopping.aborted) {
      for (const { name } of this.#services()) {
        if (!this.#autoscalers.has(name)) {
          this.#autoscalers.set(name, this.#createAutoscaler(name).run());
        }
      }
      await clock.sleep(CHECK_MILLISECONDS, stopping);
    }
    await Promise.all(this.#autoscalers.values());
  }

  #createAutoscaler(name: string): ServiceAutoscaler {
    const { context, servers, queued, candidates } = this.#options;
    return new ServiceAutoscaler({
      context,
      name,
      servers,
      service: () => this.#services().find((service) => service.name === name),
      boundMicrosPerHour: () => this.#findCostBound(name),
      ...(queued && { queued: () => queued(name) }),
      ...(candidates && { candidates }),
    });
  }

  #services(): ReadonlyArray<Service> {
    const record = this.#options.configuration.current();
    return record?.declaration?.services ?? [];
  }

  /** Divides the cost bound among the services in proportion to their maximum numbers of servers. */
  #findCostBound(name: string): number {
    const record = this.#options.configuration.current();
    const bound = Number(record?.declaration?.spend?.microsPerHour ?? 0n);
    const services = this.#services();
    const totalServers = services.reduce(
      (sum, service) => sum + service.maximumServers,
      0,
    );
    const own = services.find((service) => service.name === name);
    if (bound === 0 || own === undefined || totalServers === 0) return 0;
    return Math.floor((bound * own.maximumServers) / totalServers);
  }
}
