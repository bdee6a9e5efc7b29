import type { Service } from "../../generated/snipepath/v1/declaration_pb.ts";
import type { BackendServerView } from "../backends/backend_server_state.ts";
import type { ConfigurationView } from "../membership/configuration_view.ts";
import type { NodeContext } from "../context/node_context.ts";
import { ServiceAutoscaler } from "./service_autoscaler.ts";

const SERVICE_CHECK_INTERVAL_MILLISECONDS = 1_000;

/** Options of the autoscaler tasks. */
export interface AutoscalerTasksOptions {
  readonly context: NodeContext;
  readonly configuration: ConfigurationView;
  readonly servers: BackendServerView;
  /** Returns the number of requests for a service that are queued at this node. */
  readonly queued?: (service: string) => number;
  /** Returns the number of nodes that compete for each lease. */
  readonly countLeaseCandidates?: () => number;
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
  /** Promises that settle when a service's autoscaler stops, by service. */
  readonly #autoscalerRuns = new Map<string, Promise<void>>();

  /** @param options - The node context, the configuration and the load of the backend servers. */
  constructor(options: AutoscalerTasksOptions) {
    this.#options = options;
  }

  /** Starts an autoscaler for each service, also for services declared later; runs until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options.context;
    while (!stopping.aborted) {
      for (const { name } of this.#services()) {
        if (!this.#autoscalerRuns.has(name)) {
          this.#autoscalerRuns.set(name, this.#createAutoscaler(name).run());
        }
      }
      await clock.sleep(SERVICE_CHECK_INTERVAL_MILLISECONDS, stopping);
    }
    await Promise.all(this.#autoscalerRuns.values());
  }

  #createAutoscaler(name: string): ServiceAutoscaler {
    const { context, servers, queued, countLeaseCandidates } = this.#options;
    return new ServiceAutoscaler({
      context,
      name,
      servers,
      service: () => this.#services().find((service) => service.name === name),
      boundMicrosPerHour: () => this.#costBoundMicrosPerHour(name),
      ...(queued && { queued: () => queued(name) }),
      ...(countLeaseCandidates && { countLeaseCandidates }),
    });
  }

  #services(): ReadonlyArray<Service> {
    const record = this.#options.configuration.current();
    return record?.declaration?.services ?? [];
  }

  /**
   * Returns the cost bound of one service, in millionths of the currency unit per hour: a share of
   * the declared bound in proportion to the service's maximum number of servers. 0 means no bound.
   */
  #costBoundMicrosPerHour(name: string): number {
    const record = this.#options.configuration.current();
    const totalMicrosPerHour = Number(
      record?.declaration?.spend?.microsPerHour ?? 0n,
    );
    const services = this.#services();
    const totalServers = services.reduce(
      (sum, service) => sum + service.maximumServers,
      0,
    );
    const namedService = services.find((service) => service.name === name);
    if (
      totalMicrosPerHour === 0 || namedService === undefined ||
      totalServers === 0
    ) return 0;
    return Math.floor(
      (totalMicrosPerHour * namedService.maximumServers) / totalServers,
    );
  }
}
